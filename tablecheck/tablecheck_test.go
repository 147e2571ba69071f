package tablecheck_test

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/platform"
	"damasktrail.dev/routing"
	"damasktrail.dev/tablecheck"
)

// good is a configuration without findings, as the store holds it.
const good = `{"version":7,"limits":{"max_body_bytes":4194304},
"routes":[{"name":"chat","host":"h","path_prefix":"/c/","route_type":"streaming","timeout_ms":6000,"target_latency_ms":800,"target_itl_ms":400,"service":"llm","max_attempts":2,"stream_resume":true,"allowed_regions":["north"]},
{"name":"pay","host":"h","path_prefix":"/p/","route_type":"non_idempotent","service":"app"}],
"services":[{"name":"llm","engine":{}},{"name":"app"}],
"tenants":[{"name":"o1","api_keys":["secret-0001"],"unit":"tokens","uncached_tokens":200,"rate_per_s":100,"burst":300},{"name":"o2","api_keys":["secret-0002"],"rate_per_s":1,"burst":1}]}`

var settings = &tablecheck.Settings{Regions: map[string]string{"z1": "north"}, MemoryBytes: 184 << 20, RetryRatio: 0.1, RetrySlack: 10}

// check returns the lines of the findings of the good configuration after replacements.
func check(t *testing.T, replacements ...string) []string {
	text := good
	for i := 0; i < len(replacements); i += 2 {
		require.Contains(t, text, replacements[i])
		text = strings.Replace(text, replacements[i], replacements[i+1], 1)
	}
	table, err := platform.DecodeConfig([]byte(text))
	if err != nil {
		return []string{tablecheck.Undecodable([]byte(text), err).String()}
	}
	return lines(tablecheck.Check(table, settings))
}

func lines(findings []tablecheck.Finding) []string {
	var res []string
	for _, f := range findings {
		res = append(res, f.String())
	}
	return res
}

// Guards against a fault of a configuration that is not found, is found in another place, or
// is reported together with something that is sound.
func TestFindings(t *testing.T) {
	require.Empty(t, check(t))
	for _, c := range []struct{ old, new, want string }{
		{`{"version"`, `{,"version"`, `decode: configuration: line 1, column 2: invalid character ',' looking for beginning of object key string.`},
		{`"burst":1}]}`, `"burst":1}]`, `decode: configuration: line 5, column 185: unexpected end of JSON input.`},
		{`"version":7,`, ``, `decode: configuration: decode the configuration: it has no version.`},
		{`"version":7,`, `"version":7,"Version":8,`, `decode: configuration: decode the configuration: field version is stated twice.`},
		{`"max_body_bytes":4194304`, `"max_body_bytes":-1`, `decode: configuration: max_body_bytes is -1 and must be from 0 to 1.099511627776e+12.`},
		{`"streaming"`, `"odd"`, `decode: route "chat": unknown type "odd".`},
		{`"/c/"`, `"/c"`, `decode: route "chat": prefix "/c" does not begin and end with a slash.`},
		{`,"service":"app"`, ``, `decode: route "pay": names no service.`},
		{`"timeout_ms":6000`, `"timeout_ms":1e9`, `decode: route "chat": timeout_ms is 1e+09 and must be from 0 to 8.64e+07.`},
		{`secret-0002`, `secret-0001`, `decode: organisation "o2": shares a key with o1.`},
		{`"secret-0001"`, `12345678`, `decode: configuration: decode the configuration: json: cannot unmarshal number into Go struct field configTenant.api_keys of type string.`},
		{`"/p/"`, `"/c/"`, `unreachable: route "pay": No request matches it, because route "chat" has the same host and prefix h/c/.`},
		{`"host":"h"`, `"host":"h:80"`, `unreachable: route "chat": No request matches it, because hosts are compared without a port and its host is "h:80".`},
		{`["north"]`, `["south","west"]`, `unreachable: route "chat": No endpoint may serve it, because the settings know no failure domain in "south", "west".`},
		{`"name":"o1",`, `"name":"o1","allowed_regions":["south"],`, `unreachable: organisation "o1": No endpoint may serve it, because the settings know no failure domain in "south".`},
		{`{"name":"app"}`, `{"name":"app"},{"name":"old"}`, `unused: service "old": No route sends requests to it.`},
		{`{"name":"llm","engine":{}},`, ``, `unknown: route "chat": It names the service "llm", which is not listed.`},
		{`"service":"app"`, `"traffic_split":[{"service":"app","weight":9},{"service":"new","weight":1}]`, `unknown: route "pay": It names the service "new", which is not listed.`},
		{`["secret-0001"]`, `[]`, `no_keys: organisation "o1": It has no valid key, so that it cannot send requests.`},
		{`"secret-0001"`, `""`, `no_keys: organisation "o1": It has no valid key, so that it cannot send requests.`},
		{`"name":"o2"`, `"name":"o1"`, `duplicate: organisation "o1": It is listed more than once, and its quota is that of the last one.`},
		{`"timeout_ms":6000`, `"timeout_ms":500`, `contradiction: route "chat": The timeout of 500ms is below the latency objective of 800ms.`},
		{`"target_itl_ms":400`, `"target_itl_ms":7000`, `contradiction: route "chat": The allowed pause of 7s between events is longer than the timeout of 6s.`},
		{`"non_idempotent"`, `"non_idempotent","max_attempts":3`, `contradiction: route "pay": It allows 3 attempts, but its requests may not be repeated, so that only those that an endpoint did not run are sent again.`},
		{`"stream_resume":true,`, ``, `contradiction: route "chat": It allows 2 attempts, but its requests may not be repeated, so that only those that an endpoint did not run are sent again.`},
		{`"burst":300`, `"burst":199.5`, `contradiction: organisation "o1": The burst of 199.5 tokens is below the cost of one request without a token count, 200 tokens.`},
		{`"burst":1}`, `"burst":0}`, `contradiction: organisation "o2": The burst of 0 requests is below the cost of one request without a token count, 1 request.`},
		{`4194304`, `48234497`, `contradiction: configuration: The limit of 48234497 bytes for a body is above a quarter of the memory of 192937984 bytes in the settings.`},
	} {
		require.Equal(t, []string{c.want}, check(t, c.old, c.new), c.new)
	}
}

// Guards against findings that need settings when there are none, and against a limit that is
// reported although it is absent or at its bound.
func TestNoFindings(t *testing.T) {
	table, err := platform.DecodeConfig([]byte(strings.NewReplacer("north", "south", "4194304", "48234497").Replace(good)))
	require.NoError(t, err)
	require.Empty(t, tablecheck.Check(table, nil))
	require.Empty(t, check(t, `4194304`, `48234496`))
	require.Empty(t, check(t, `"timeout_ms":6000,`, ``))
	require.Empty(t, check(t, `"timeout_ms":6000`, `"timeout_ms":800`, `"target_itl_ms":400`, `"target_itl_ms":800`))
	require.Empty(t, check(t, `"rate_per_s":1,"burst":1`, `"burst":0`))
}

// Guards against a failure domain without a region that is taken for one in a region without a
// name.
func TestUnknownRegion(t *testing.T) {
	table, err := platform.DecodeConfig([]byte(strings.Replace(good, "north", "", 1)))
	require.NoError(t, err)
	got := tablecheck.Check(table, &tablecheck.Settings{Regions: map[string]string{"z1": ""}, RetryRatio: 0.1, RetrySlack: 10})
	require.Len(t, got, 1)
	require.Equal(t, tablecheck.KindUnreachable, got[0].Kind)
}

// Guards against attempts that are taken for possible although the settings allow no retry, and
// the reverse. A share keeps 0.7 of the slack and begins with half of that.
func TestAttemptsWithoutBudget(t *testing.T) {
	table, err := platform.DecodeConfig([]byte(good))
	require.NoError(t, err)
	for _, c := range []struct {
		ratio, slack float64
		found        bool
	}{{0, 0, true}, {0.1, 1.4, true}, {0.1, 1.5, false}, {0, 1.5, true}, {0, 2.8, true}, {0, 2.9, false}} {
		got := lines(tablecheck.Check(table, &tablecheck.Settings{Regions: settings.Regions, RetryRatio: c.ratio, RetrySlack: c.slack}))
		require.Equal(t, c.found, len(got) == 1, c)
	}
	require.Equal(t, []string{`contradiction: route "chat": It allows 2 attempts, but the retry ratio of 0.1 and the slack of 1 in the settings never allow a second one.`},
		lines(tablecheck.Check(table, &tablecheck.Settings{Regions: settings.Regions, RetryRatio: 0.1, RetrySlack: 1})))
}

// Guards against a change that is not described, and against a key in the output.
func TestCompare(t *testing.T) {
	decode := func(text string) *routing.Table {
		table, err := platform.DecodeConfig([]byte(text))
		require.NoError(t, err)
		return table
	}
	tenants := good[strings.Index(good, `"tenants"`) : len(good)-1]
	for _, c := range []struct{ old, new, want string }{
		{`"version":7`, `"version":8`, `changed: configuration: It changes: version from 7 to 8.`},
		{`4194304`, `0`, `changed: configuration: It changes: largest body in bytes from 4194304 to 0.`},
		{`"/p/"`, `"/q/"`, `removed: route "pay": It is removed from h/p/.|added: route "pay": It is added for h/q/.`},
		{`"timeout_ms":6000`, `"priority":1`, `changed: route "chat": It changes: timeout from 6s to none; priority from 0 to 1.`},
		{`{"name":"app"}`, `{"name":"app"},{"name":"x"}`, `added: service "x": It is added.`},
		{`,{"name":"app"}`, ``, `withdrawal: service "app": It is removed, but still named by route "pay".`},
		{`"engine":{}`, `"cold_per_s":5.2`, `changed: service "llm": It changes: model engine from true to false; cold rate per second from 0 to 5.2.`},
		{`"name":"o2"`, `"name":"o3"`, `removed: organisation "o2": It is removed with 1 key.|added: organisation "o3": It is added with 1 key.`},
		{`"burst":300`, `"burst":400`, `changed: organisation "o1": It changes: burst from 300 to 400.`},
		{`["secret-0001"]`, `["secret-0001","secret-0003"]`, `added: organisation "o1": It gets 1 key.`},
		{`["secret-0001"]`, `["secret-0003"]`, `added: organisation "o1": It gets 1 key.|removed: organisation "o1": It loses 1 key and keeps 0.`},
		{`["secret-0001"]`, `[]`, `withdrawal: organisation "o1": It loses all its keys (1 key), so that it cannot send requests.`},
		{tenants, `"tenants":[]`, `withdrawal: configuration: The last organisation is removed, so that no key is valid.|removed: organisation "o1": It is removed with 1 key.|removed: organisation "o2": It is removed with 1 key.`},
		{tenants, `"x":[]`, `opened: configuration: The list of organisations is absent, so that requests no longer need a key.|removed: organisation "o1": It is removed with 1 key.|removed: organisation "o2": It is removed with 1 key.`},
	} {
		require.Contains(t, good, c.old)
		next := decode(strings.Replace(good, c.old, c.new, 1))
		got := strings.Join(lines(tablecheck.Compare(decode(good), next)), "|")
		require.Equal(t, c.want, got)
		require.NotContains(t, got, "secret")
		require.Equal(t, next.Version > 7, len(tablecheck.CheckVersion(decode(good), next)) == 0, "version not higher")
	}
	require.Empty(t, tablecheck.Compare(decode(good), decode(good)))
	require.Empty(t, tablecheck.CheckVersion(decode(good), decode(good)))
	require.Equal(t, []string{`version: configuration: Version 7 is not higher than version 9 in force, so that gateways ignore it.`},
		lines(tablecheck.CheckVersion(decode(strings.Replace(good, `:7`, `:9`, 1)), decode(good))))
}

// Guards against a field that is added to the table and forgotten in the comparison.
func TestCompareEveryField(t *testing.T) {
	for _, zero := range []any{&routing.Route{}, &routing.Service{}, &routing.Organisation{}, &routing.Limits{}} {
		for i := range reflect.TypeOf(zero).Elem().NumField() {
			build := func(change bool) *routing.Table {
				parts := []any{
					&routing.Route{Prefix: "/", Attempts: 1, Targets: []routing.Target{{Service: "s", Weight: 1}}},
					&routing.Service{Name: "s"}, &routing.Organisation{Name: "o", HasTier: true}, &routing.Limits{},
				}
				for _, p := range parts {
					if change && reflect.TypeOf(p) == reflect.TypeOf(zero) {
						set(reflect.ValueOf(p).Elem().Field(i))
					}
				}
				table, err := routing.New(1, *parts[3].(*routing.Limits), []routing.Route{*parts[0].(*routing.Route)},
					[]routing.Service{*parts[1].(*routing.Service)}, []routing.Organisation{*parts[2].(*routing.Organisation)})
				require.NoError(t, err)
				return table
			}
			require.NotEmpty(t, tablecheck.Compare(build(false), build(true)), "%T field %d", zero, i)
		}
	}
}

// set changes a field of a part to another valid value.
func set(v reflect.Value) {
	switch v.Interface().(type) {
	case string:
		v.SetString("/x/")
	case bool:
		v.SetBool(!v.Bool())
	case []string:
		v.Set(reflect.ValueOf([]string{"x"}))
	case []routing.Target:
		v.Set(reflect.ValueOf([]routing.Target{{Service: "x", Weight: 1}}))
	case float64:
		v.SetFloat(2)
	case time.Duration, routing.Kind, int, int64:
		v.SetInt(2)
	}
}
