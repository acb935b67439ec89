package web

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/zeromicro/go-zero/rest"
)

// TestEveryMiddlewareOfRestIsOff pins the decision that the package's comment
// gives the reasons for.
func TestEveryMiddlewareOfRestIsOff(t *testing.T) {
	c := conf()
	if diff := cmp.Diff(rest.MiddlewaresConf{}, c.Middlewares); diff != "" {
		t.Errorf("middlewares (-want +got):\n%s", diff)
	}
	if c.CpuThreshold != 0 || c.Timeout != 0 || c.MaxBytes != 0 || c.MaxConns != 0 {
		t.Errorf("bounds of rest: %+v", c)
	}
}

// TestStopWaitsForRequests stops a server while it answers.
func TestStopWaitsForRequests(t *testing.T) {
	begun := make(chan struct{})
	handler, err := Handler([]rest.Route{{Method: http.MethodGet, Path: "/slow", Handler: func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		time.Sleep(300 * time.Millisecond)
		fmt.Fprint(w, "whole")
	}}}, http.NotFound)
	if err != nil {
		t.Fatal(err)
	}
	server, err := Listen("127.0.0.1:0", handler, 10, nil)
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + server.Address() + "/slow")
		if err != nil {
			got <- err.Error()
			return
		}
		defer response.Body.Close()
		raw, _ := io.ReadAll(response.Body)
		got <- string(raw)
	}()
	<-begun
	if err := server.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	if text := <-got; text != "whole" {
		t.Errorf("got %q", text)
	}
}

// TestPanicDoesNotLookWhole checks that an answer that breaks off in a panic
// ends in a closed connection.
func TestPanicDoesNotLookWhole(t *testing.T) {
	address, stop, err := Serve("127.0.0.1:0", []rest.Route{{Method: http.MethodGet, Path: "/x", Handler: func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic("broken")
	}}}, http.NotFound, 10)
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	response, err := http.Get("http://" + address + "/x")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if raw, err := io.ReadAll(response.Body); err == nil {
		t.Errorf("the broken answer %q looks whole", raw)
	}
}
