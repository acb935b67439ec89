package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/rest/httpc"

	"mulberrydyke/admin"
	"mulberrydyke/link"
)

// statusTimeout limits the read of one host's status.
const statusTimeout = 5 * time.Second

func statusCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "status ADDRESS...",
		Short:   "Shows the state of hosts, read from their operators' listeners.",
		Example: "  mulberrydyke status 127.0.0.1:8081 127.0.0.1:8091",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			logx.Disable()
			var statuses []admin.Status
			for _, address := range args {
				s, err := readStatus(c.Context(), address)
				if err != nil {
					return err
				}
				statuses = append(statuses, s)
			}
			return writeStatus(c.OutOrStdout(), statuses)
		},
	}
}

func readStatus(ctx context.Context, address string) (admin.Status, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true}
	client := &http.Client{Transport: link.CheckResponses(transport, &net.Dialer{})}
	response, err := httpc.NewServiceWithClient("status", client).Do(ctx, http.MethodGet, "http://"+address+"/v1/status", nil)
	if err != nil {
		return admin.Status{}, eris.Wrapf(err, "read the status of %s", address)
	}
	defer response.Body.Close()
	var s admin.Status
	if err := json.NewDecoder(response.Body).Decode(&s); err != nil {
		return admin.Status{}, eris.Wrapf(err, "read the status of %s", address)
	}
	return s, nil
}

func writeStatus(w io.Writer, statuses []admin.Status) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "HOST\tDOMAIN\tREADY\tREADER\tPLANS\tENTITLEMENTS\tUPSTREAMS\tHOSTS\tRUNNING\tTICKETS")
	for _, s := range statuses {
		fmt.Fprintf(t, "%s\t%s\t%t\t%t\t%d\t%d\t%d\t%d\t%d\t%d\n", s.Host.ID, s.Host.Domain, s.Ready, s.PlatformReader,
			s.Versions.Plans, s.Versions.Entitlements, s.Versions.Upstreams, s.Versions.Hosts, s.Running, s.HomeTickets)
	}
	fmt.Fprintln(t, "\nPOOL\tSCHEDULER\tUPSTREAM\tLIVE\tHEALTH\tLIMIT\tIN FLIGHT\tBETWEEN TOKENS")
	for _, s := range statuses {
		for _, p := range s.Pools {
			for _, u := range p.Upstreams {
				fmt.Fprintf(t, "%s\t%s\t%s\t%t\t%s\t%.1f\t%d\t%s\n", p.Pool.Name, s.Host.ID, u.ID, u.Live, u.Health,
					u.Limit, u.InFlight, u.BetweenTokens.Std().Round(time.Microsecond))
			}
		}
		for kind, reason := range s.Rejected {
			fmt.Fprintf(t, "\nrejected on %s: %s: %s\n", s.Host.ID, kind, reason)
		}
	}
	return t.Flush()
}
