package finding_test

import (
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mulberrydyke/finding"
	"mulberrydyke/platform"
)

// sound is a configuration without findings. Tests replace parts of it.
const sound = `{"version":4,
"routes":[
{"name":"chat","host":"a.example","prefix":"/chat/","kind":"streaming","timeoutMs":9000,"targetLatencyMs":500,"targetGapMs":80,"maxAttempts":3,"streamResume":true,"service":"pool"},
{"name":"desk","host":"a.example","prefix":"/desk/","kind":"non_idempotent","timeoutMs":2000,"targetLatencyMs":300,"maxAttempts":1,"trafficSplit":[{"service":"desk","weight":0.9},{"service":"pool","weight":0.1}]}],
"services":[
{"name":"pool","maxConnections":64,"coldStartS":20,"coldPerS":16,"engine":{"slots":32,"kvCapacityTokens":90000,"stride":4}},
{"name":"desk","maxConnections":16}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"north","apiKeys":["north-secret-1"]},{"name":"south","apiKeys":["south-secret-1","south-secret-2"],"priority":2}]}`

// edited returns the sound configuration with replacements, given as pairs.
func edited(t *testing.T, replacements ...string) *finding.Configuration {
	t.Helper()
	text := sound
	for pair := range slices.Chunk(replacements, 2) {
		if !strings.Contains(text, pair[0]) {
			t.Fatalf("the configuration lacks %s", pair[0])
		}
		text = strings.Replace(text, pair[0], pair[1], 1)
	}
	c, err := platform.DecodeConfiguration([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// TestCheck guards against faults of a configuration that aren't found, and against
// findings about what is sound.
func TestCheck(t *testing.T) {
	const chat, desk = `route 1 "chat": `, `route 2 "desk": `
	for name, tc := range map[string]struct {
		replacements []string
		want         []string
	}{
		"sound":      {nil, nil},
		"no version": {[]string{`"version":4,`, ``}, []string{"error: configuration: There is no version, so every host refuses the configuration."}},
		"no host, prefix, service": {[]string{`"host":"a.example","prefix":"/chat/"`, `"x":0`, `"streamResume":true,"service":"pool"`, `"streamResume":true`}, []string{
			"error: " + chat + "The route has no host, so every host refuses the configuration.",
			"error: " + chat + "The route has no prefix, so every host refuses the configuration.",
			"error: " + chat + "The route has no service, so every host refuses the configuration."}},
		"prefix without slashes": {[]string{`"/chat/"`, `"chat"`}, []string{
			"error: " + chat + `Prefix "chat" does not begin with a slash, so the route never matches.`,
			"error: " + chat + `Prefix "chat" does not end with a slash, so it also matches longer names.`}},
		"same address, other case": {[]string{`"a.example","prefix":"/desk/"`, `"A.Example","prefix":"/chat/"`}, []string{
			"warning: " + desk + "Route 1 has the same host and prefix, so this one never matches."}},
		"a host with a port hides nothing": {[]string{`"a.example"`, `"a.example:80"`, `"/desk/"`, `"/chat/"`}, []string{
			"error: " + chat + `Host "a.example:80" has a port, so the route never matches, since the port of a request is ignored.`}},
		"a longer prefix hides nothing": {[]string{`"/chat/"`, `"/"`}, nil},
		"same names": {[]string{`"name":"desk","host"`, `"name":"chat","host"`, `"name":"south"`, `"name":"north"`}, []string{
			`error: route 2 "chat": Route 1 has the same name.`, `error: account 2 "north": Account 1 has the same name.`}},
		"same service twice": {[]string{`{"name":"desk","max`, `{"name":"desk"},{"name":"desk","max`}, []string{
			`error: service 3 "desk": Service 2 has the same name, and only the last of them counts.`}},
		"unknown kind": {[]string{`"non_idempotent"`, `"once"`}, []string{"error: " + desk + `Kind "once" is unknown, and hosts treat it as non-idempotent.`}},
		"times": {[]string{`"timeoutMs":9000,"targetLatencyMs":500,"targetGapMs":80`, `"targetGapMs":-80`, `"targetLatencyMs":300`, `"targetLatencyMs":3000`}, []string{
			"error: " + chat + "The gap target, -80ms, is negative.",
			"error: " + chat + "There is no timeout, which counts as zero, so all requests fail.",
			"warning: " + chat + "There is no latency target, so no request is refused because it would be late.",
			"warning: " + desk + "The latency target, 3s, is over the timeout, 2s."}},
		"gap over timeout": {[]string{`"targetGapMs":80`, `"targetGapMs":9500`}, []string{"warning: " + chat + "The gap target, 9.5s, is over the timeout, 9s."}},
		"weights of zero": {[]string{`0.9}`, `0}`, `0.1}`, `0.0004}`}, []string{
			"error: " + desk + "All weights are zero.",
			"warning: " + desk + `The weight of service "desk", 0, counts as zero, so it gets no requests.`,
			"warning: " + desk + `The weight of service "pool", 0.0004, counts as zero, so it gets no requests.`}},
		"negative weight": {[]string{`0.1}`, `-1}`}, []string{"error: " + desk + `The weight of service "pool", -1, is negative.`}},
		"service that is not listed": {[]string{`{"service":"desk"`, `{"service":"dek"`}, []string{
			"error: " + desk + `Service "dek" is not listed.`, `warning: service 2 "desk": No route names the service, so it gets no requests.`}},
		"attempts without effect": {[]string{`"maxAttempts":1`, `"maxAttempts":2`, `"streamResume":true,`, ``}, []string{
			"warning: " + chat + "3 attempts have no effect, since its streams can't be resumed; a request that has certainly not run may be sent to another upstream in any case.",
			"warning: " + desk + "2 attempts have no effect, since its requests are not idempotent; a request that has certainly not run may be sent to another upstream in any case."}},
		"keys": {[]string{`"north-secret-1"`, ``, `"south-secret-2"`, `"south-secret-1"`}, []string{
			`warning: account 1 "north": The account has no keys, so no request can belong to it.`, `warning: account 2 "south": Key "sout..." is listed twice.`}},
		"key of two accounts": {[]string{`"south-secret-2"`, `"north-secret-1"`}, []string{
			`warning: account 2 "south": Key "nort..." belongs to account 1 too, and only the last account counts.`}},
		"empty key": {[]string{`"south-secret-2"`, `""`}, []string{
			`error: account 2 "south": A key is empty, so requests without a key belong to the account.`}},
		"no key at all": {[]string{`{"name":"north","apiKeys":["north-secret-1"]},{"name":"south","apiKeys":["south-secret-1","south-secret-2"],"priority":2}`, ``}, []string{
			"error: configuration: There is a list of accounts without any key, so all requests of the 2 routes that need a key are refused."}},
		"anonymous": {[]string{`"maxAttempts":1`, `"allowAnonymous":true`}, []string{"warning: " + desk + "The route needs no key, although there are accounts."}},
		"limits": {[]string{`4194304`, `4096`, `"headerTimeoutMs":3000`, `"headerTimeoutMs":30000`}, []string{
			"warning: limits: The limit of request bodies, 4096 bytes, is under that of headers, 16384 bytes.",
			"warning: limits: The timeout of request headers, 30s, is over that of idle connections, 15s."}},
		"cold start without rate": {[]string{`"coldPerS":16`, `"coldPerS":0`}, []string{
			`warning: service 1 "pool": Upstreams are cold for 20s after their start, but there is no limit on the requests that they get meanwhile.`}},
		"cold rate without start": {[]string{`"coldStartS":20`, `"coldStartS":0`}, []string{
			`warning: service 1 "pool": There is a limit of 16 requests a second for cold upstreams, but no time for which they are cold after their start.`}},
		"engine": {[]string{`"maxConnections":64`, `"maxConnections":8`, `90000`, `20`}, []string{
			`warning: service 1 "pool": An upstream accepts 8 connections, so only as many of its 32 slots can be used.`,
			`warning: service 1 "pool": The engine has memory for 20 tokens, which is under one token for each of its 32 slots.`}},
	} {
		t.Run(name, func(t *testing.T) {
			var got []string
			for _, f := range finding.Check(edited(t, tc.replacements...), nil) {
				got = append(got, f.String())
			}
			if diff := cmp.Diff(tc.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

// TestVersionMustRise guards against a version that no host would adopt.
func TestVersionMustRise(t *testing.T) {
	inForce := edited(t)
	for version, want := range map[string]int{"3": 1, "4": 1, "5": 0} {
		findings := finding.Check(edited(t, `"version":4`, `"version":`+version), inForce)
		if got := finding.CountErrors(findings); got != want {
			t.Errorf("version %s: %d errors, want %d: %v", version, got, want, findings)
		}
	}
}

// TestCompare guards against differences that are missing, that come in another order,
// or that show a whole key.
func TestCompare(t *testing.T) {
	next := edited(t, `"version":4`, `"version":5`, `"name":"chat"`, `"name":"talk"`, `"maxConnections":16`, `"healthPath":"/\u000a"`, `"timeoutMs":2000`, `"timeoutMs":2500`, `0.9}`, `0.8}`,
		`16384`, `8192`, `"coldPerS":16`, `"coldPerS":13`, `"south-secret-1","south-secret-2"`, `"north-secret-1","new-secret"`)
	want := []string{
		`removed: route "chat"`,
		`removed: key "sout...": account south`,
		`removed: key "sout...": account south`,
		`changed: configuration: version from 4 to 5`,
		`changed: limits: header bytes from 16384 to 8192`,
		`changed: route "desk": services from [desk:0.9 pool:0.1] to [desk:0.8 pool:0.1]`,
		`changed: route "desk": timeout from 2s to 2.5s`,
		`changed: service "desk": connections from 16 to 0`,
		`changed: service "desk": health path from "" to "/\n"`,
		`changed: service "pool": cold rate from 16 to 13`,
		`changed: key "nort...": account from north to south`,
		`added: route "talk"`,
		`added: key "new-...": account south`,
	}
	// Maps are walked in another order each time.
	for range 20 {
		var got []string
		for _, d := range finding.Compare(edited(t), next) {
			got = append(got, d.String())
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatal(diff)
		}
	}
	if differences := finding.Compare(next, next); len(differences) > 0 {
		t.Errorf("a configuration differs from itself: %v", differences)
	}
}
