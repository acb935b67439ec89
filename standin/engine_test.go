package standin

import "testing"

// TestProcessCrashesOnce submits two requests that each crash the engine, both
// accepted by the same process. The second must neither count as another crash
// nor affect the process that was started after the first.
func TestProcessCrashesOnce(t *testing.T) {
	e, stop := NewEngine(DefaultEngineOptions("engine-1"))
	defer stop()
	e.SetFaults(EngineFaults{PoisonText: "deadly"})
	instance := e.Instance()
	for _, id := range []string{"first", "second"} {
		if g := e.submit(instance, id, "", "a deadly draft", 4, 0); g != nil {
			t.Errorf("%s: the engine ran a request that should crash it", id)
		}
	}
	if n := e.Crashes(); n != 1 {
		t.Errorf("got %d crashes, want 1", n)
	}
	if g := e.submit(e.Instance(), "third", "", "a draft", 4, 0); g == nil {
		t.Error("the restarted process refused a request")
	}
}
