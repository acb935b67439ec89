package standin

import "testing"

// TestDeadProcessDiesOnce submits two poisonous requests that one process had
// accepted before the first of them crashed it. The second can't crash it
// again, nor harm the process that is started in its place.
func TestDeadProcessDiesOnce(t *testing.T) {
	e, stop := NewEngine(DefaultEngineOptions("engine-1"))
	defer stop()
	e.SetFaults(EngineFaults{PoisonText: "deadly"})
	instance := e.Instance()
	for _, id := range []string{"first", "second"} {
		if g := e.submit(instance, id, "", "a deadly draft", 4, 0); g != nil {
			t.Errorf("%s: the engine runs a request that kills it", id)
		}
	}
	if n := e.Crashes(); n != 1 {
		t.Errorf("one process crashed %d times", n)
	}
	if g := e.submit(e.Instance(), "third", "", "a draft", 4, 0); g == nil {
		t.Error("the process that was started next refused a request")
	}
}
