package state

// The blank imports keep these modules in go.mod regardless of other imports.
import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/cenkalti/backoff/v5"
	_ "github.com/google/gopacket"
	_ "github.com/google/gopacket/layers"
	_ "github.com/integrii/flaggy"
	_ "github.com/panjf2000/ants/v2"
	_ "github.com/pelletier/go-toml/v2"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/samber/oops"
	_ "github.com/sony/gobreaker/v2"
	_ "golang.org/x/net/ipv4"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/vg/draw"
	_ "pgregory.net/rapid"
)
