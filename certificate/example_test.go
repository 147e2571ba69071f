package certificate_test

import (
	"fmt"
	"net"
	"time"

	"damasktrail.dev/certificate"
	"damasktrail.dev/set"
)

func Example() {
	authority, _ := certificate.NewAuthority("example", time.Hour)
	pair, _ := authority.Issue(certificate.RoleAgent, "agent-1", []net.IP{net.IPv4(127, 0, 0, 1)}, time.Hour)
	own, _ := pair.TLS()
	files, _ := certificate.New(authority.Pool(), own)
	settings := files.ServerConfig(set.Of(certificate.RoleEntry))
	fmt.Println(files.Identity(), settings.NextProtos)
	// Output: damasktrail:agent:agent-1 [damasktrail/1]
}
