package platformapi

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/guavawharf/guavawharf/internal/state/objects"
)

// Guards against hosts that stop following a kind of objects since one object, which any
// writer may have left, is nested so deeply that the whole page can't be decoded.
func TestDeeplyNestedObjectIsSkippedAndTheOthersHold(t *testing.T) {
	const levels = (objects.MaxValueSize - 200) / 2
	deep := strings.Repeat("[", levels) + strings.Repeat("]", levels)
	page := fmt.Sprintf(`{"revision":9,"objects":[{"key":"a/1","version":1,"revision":3,"value":%s},{"key":"a/2","version":1,"revision":4,"value":{"name":"x"}}]}`, deep)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	decoded, err := Protocol{}.DecodePage([]byte(page))
	runtime.ReadMemStats(&after)
	require.NoError(t, err)
	require.Len(t, decoded.Objects, 2)
	require.Less(t, len(decoded.Objects[0].Value), 100, "the value is not kept")
	require.JSONEq(t, `{"name":"x"}`, string(decoded.Objects[1].Value))
	require.Less(t, after.StackInuse+after.TotalAlloc-before.StackInuse-before.TotalAlloc, uint64(4<<20))

	object, err := Protocol{}.DecodeObject([]byte(`{"key":"a/1","version":1,"revision":3,"value":` + deep + `}`))
	require.NoError(t, err)
	require.Less(t, len(object.Value), 100)
	_, err = Protocol{}.DecodePage([]byte(page[:len(page)-100]))
	require.Error(t, err, "a page that broke off")
}
