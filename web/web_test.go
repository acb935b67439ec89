package web

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/zeromicro/go-zero/rest"

	"mulberrydyke/connlimit"
)

// TestRestMiddlewaresAreDisabled checks that all middlewares and limits of rest are
// off. The package comment gives the reasons.
func TestRestMiddlewaresAreDisabled(t *testing.T) {
	config := restConfig()
	if diff := cmp.Diff(rest.MiddlewaresConf{}, config.Middlewares); diff != "" {
		t.Errorf("middlewares (-want +got):\n%s", diff)
	}
	if config.CpuThreshold != 0 || config.Timeout != 0 || config.MaxBytes != 0 || config.MaxConns != 0 {
		t.Errorf("limits of rest are not zero: %+v", config)
	}
}

// TestStopWaitsForActiveRequests checks that a server that is stopped during a
// request still sends the complete response.
func TestStopWaitsForActiveRequests(t *testing.T) {
	handlerStarted := make(chan struct{})
	handler, err := Handler([]rest.Route{{Method: http.MethodGet, Path: "/slow", Handler: func(w http.ResponseWriter, _ *http.Request) {
		close(handlerStarted)
		time.Sleep(300 * time.Millisecond)
		fmt.Fprint(w, "whole")
	}}}, http.NotFound)
	if err != nil {
		t.Fatal(err)
	}
	server, err := Listen("127.0.0.1:0", handler, connlimit.NewLimiter(connlimit.LimitsFor(1<<30, 0), "test", slog.New(slog.DiscardHandler)), nil)
	if err != nil {
		t.Fatal(err)
	}
	bodies := make(chan string, 1)
	go func() {
		response, err := http.Get("http://" + server.Address() + "/slow")
		if err != nil {
			bodies <- err.Error()
			return
		}
		defer response.Body.Close()
		raw, _ := io.ReadAll(response.Body)
		bodies <- string(raw)
	}()
	<-handlerStarted
	if err := server.Stop(context.Background()); err != nil {
		t.Error(err)
	}
	if body := <-bodies; body != "whole" {
		t.Errorf("got response %q, want the complete one", body)
	}
}

// TestPanicTruncatesResponse checks that a panic in a handler closes the
// connection, so that the client doesn't take a partial response for a complete
// one.
func TestPanicTruncatesResponse(t *testing.T) {
	address, cleanup, err := Serve("127.0.0.1:0", []rest.Route{{Method: http.MethodGet, Path: "/x", Handler: func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "half")
		_ = http.NewResponseController(w).Flush()
		panic("broken")
	}}}, http.NotFound, 10)
	if err != nil {
		t.Fatal(err)
	}
	defer cleanup()
	response, err := http.Get("http://" + address + "/x")
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if raw, err := io.ReadAll(response.Body); err == nil {
		t.Errorf("reading the truncated response %q gave no error", raw)
	}
}
