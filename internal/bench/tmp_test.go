package bench_test
import ("testing";"fmt";"github.com/marigoldscale/marigoldscale/internal/bench")
func TestTmp(t *testing.T){ rows,err:=bench.Control(1); if err!=nil {t.Fatal(err)}; for _,r:=range rows { fmt.Printf("%+v cpu=%.4f sent=%.0f B/s beats=%.0f state=%d stall=%v allocs=%.0f\n", r.Fleet,r.CPU,r.Sent,r.Beats,r.State,r.Stall,r.Allocs)} }
