package member_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/member"
)

const example = `{"version": 3, "vms": [
 {"name": "e1", "role": "entry", "address": "10.0.0.1:7000", "domain": "ghent"},
 {"name": "a1", "address": "[fd00::1]:7000", "domain": "aalst", "set": "jury", "state": "leaving"}]}`

// Guards against accepting an invalid list, and against defaults that are lost
// when a list is encoded and parsed again.
func TestParse(t *testing.T) {
	l, err := member.Parse([]byte(example))
	require.NoError(t, err)
	v, ok := l.VM("a1")
	require.True(t, ok)
	require.Equal(t, member.VM{
		Name: "a1", Role: member.RoleAgent, Address: "[fd00::1]:7000", Domain: "aalst", Set: "jury", State: member.StateLeaving,
	}, v)
	v, ok = l.VM("e1")
	require.True(t, ok)
	require.Equal(t, member.StateLive, v.State)
	_, ok = l.VM("e2")
	require.False(t, ok)
	again, err := member.Parse(l.Encode())
	require.NoError(t, err)
	require.Equal(t, l, again)
	empty, err := member.Parse([]byte(`{"version": 1, "vms": []}`))
	require.NoError(t, err)
	_, err = member.Parse(empty.Encode())
	require.NoError(t, err)

	for name, c := range map[string]struct{ from, to, want string }{
		"unknown field":      {`"set"`, `"sets"`, `vms[1].sets: field does not exist`},
		"trailing data":      {`"leaving"}]}`, `"leaving"}]} 1`, `after top-level value`},
		"not JSON":           {`{"version"`, `{version`, `invalid character`},
		"version zero":       {`"version": 3`, `"version": 0`, `version: must be at least 1`},
		"name empty":         {`"name": "e1"`, `"name": ""`, `vms[0].name: must not be empty`},
		"name twice":         {`"name": "a1"`, `"name": "e1"`, `vms[1].name: VM "e1" already exists as vms[0]`},
		"unknown role":       {`"role": "entry"`, `"role": "king"`, `vms[0].role: "king" is not one of entry, agent`},
		"unknown state":      {`"leaving"`, `"left"`, `vms[1].state: "left" is not one of live, leaving`},
		"host name":          {`10.0.0.1:7000`, `localhost:7000`, `vms[0].address: "localhost:7000" is not an IP number and port`},
		"no port":            {`10.0.0.1:7000`, `10.0.0.1`, `vms[0].address`},
		"port zero":          {`10.0.0.1:7000`, `10.0.0.1:0`, `vms[0].address`},
		"no number":          {`10.0.0.1:7000`, `0.0.0.0:7000`, `vms[0].address`},
		"no domain":          {`"domain": "ghent"`, `"domain": ""`, `vms[0].domain: must not be empty`},
		"entry with a set":   {`"domain": "ghent"`, `"domain": "ghent", "set": "x"`, `vms[0].set: an agent has a set`},
		"agent without set":  {`"set": "jury", `, ``, `vms[1].set: an agent has a set`},
		"over 1 MB":          {`{"version"`, strings.Repeat(" ", 1<<20) + `{"version"`, `exceed the limit`},
		"duplicate key":      {`"version": 3`, `"version": 3, "version": 4`, `version: key "version" is given twice`},
		"name in other case": {`"name": "a1"`, `"NAME": "a1"`, `vms[1].NAME: field does not exist`},
	} {
		t.Run(name, func(t *testing.T) {
			require.Contains(t, example, c.from)
			_, err := member.Parse([]byte(strings.Replace(example, c.from, c.to, 1)))
			require.ErrorContains(t, err, c.want)
		})
	}
}

// Guards against a holder that goes back to an older list.
func TestHolder(t *testing.T) {
	h := member.NewHolder()
	require.Nil(t, h.Load())
	vm := member.VM{Name: "e1", Role: member.RoleEntry, Address: "127.0.0.1:1", Domain: "d"}
	list := func(version uint64, vms ...member.VM) *member.List {
		l, err := member.New(version, vms)
		require.NoError(t, err)
		return l
	}
	changed := h.Changed()
	offer := func(l *member.List) bool {
		res, err := h.Offer(l)
		require.NoError(t, err)
		return res
	}
	require.True(t, offer(list(2)))
	<-changed
	require.False(t, offer(list(2)))
	var conflict *member.ConflictError
	_, err := h.Offer(list(2, vm))
	require.ErrorAs(t, err, &conflict)
	var older *member.OlderError
	_, err = h.Offer(list(1, vm))
	require.ErrorAs(t, err, &older)
	require.Empty(t, h.Load().VMs)
	require.True(t, offer(list(3, vm)))
	require.Equal(t, uint64(3), h.Load().Version)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(example))
	f.Fuzz(func(t *testing.T, data []byte) {
		l, err := member.Parse(data)
		if err != nil {
			return
		}
		again, err := member.Parse(l.Encode())
		require.NoError(t, err)
		require.Equal(t, l.Digest(), again.Digest())
	})
}
