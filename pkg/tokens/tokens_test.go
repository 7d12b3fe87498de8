package tokens

import (
	"encoding/json"
	"go/ast"
	"go/token"
	"go/types"
	"math"
	"math/big"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/tools/go/packages"
	"pgregory.net/rapid"
)

// clamp returns n if it is in the range of a Count, and otherwise the nearest end.
func clamp(n *big.Int) Count {
	switch {
	case n.Sign() < 0:
		return 0
	case n.Cmp(big.NewInt(int64(Max))) > 0:
		return Max
	}
	return Count(n.Int64())
}

// drawCount draws any 64-bit number, mostly one near the ends of the ranges.
func drawCount(t *rapid.T, label string) int64 {
	end := rapid.SampledFrom([]int64{0, 1, int64(Max), math.MaxInt64, math.MinInt64, 1 << 26}).Draw(t, label)
	return end + rapid.Int64Range(-2, 2).Draw(t, label+" offset") // wraps around at the ends of the 64 bits
}

// Guards against an operation that overflows or goes below zero.
func TestOperationsStayInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := Count(drawCount(t, "a")), Count(drawCount(t, "b"))
		x, y := big.NewInt(int64(clamp(big.NewInt(int64(a))))), big.NewInt(int64(clamp(big.NewInt(int64(b)))))
		if got, want := a.Plus(b, b), clamp(new(big.Int).Add(x, new(big.Int).Add(y, y))); got != want {
			t.Errorf("%d plus twice %d: %d, want %d", a, b, got, want)
		}
		if got, want := a.Excess(b), clamp(new(big.Int).Sub(x, y)); got != want {
			t.Errorf("excess of %d over %d: %d, want %d", a, b, got, want)
		}
		n := drawCount(t, "n")
		if got, want := a.Times(n), clamp(new(big.Int).Mul(x, big.NewInt(max(n, 0)))); got != want {
			t.Errorf("%d times %d: %d, want %d", a, n, got, want)
		}
		if d := a.Minus(b); d.Increase() != a.Excess(b) || d.Decrease() != b.Excess(a) {
			t.Errorf("%d minus %d: %d", a, b, d)
		}
		if d := Delta(n); d.Increase() < 0 || d.Increase() > Max || d.Decrease() < 0 || d.Decrease() > Max {
			t.Errorf("delta %d: %d up, %d down", d, d.Increase(), d.Decrease())
		}
		if rest, ok := a.Take(b); ok != (b >= 0 && b < Max && b <= a) || ok && rest != a-b || !ok && rest != a {
			t.Errorf("%d of %d: %d, %t", b, a, rest, ok)
		}
		if got, ok := FromInt(n); ok != (n >= 0 && n <= int64(Max)) || int64(got) != n {
			t.Errorf("from %d: %d, %t", n, got, ok)
		}
		if f := FromFloat(rapid.Float64().Draw(t, "f")); f < 0 || f > Max {
			t.Errorf("from a float: %d", f)
		}
	})
	for v, want := range map[float64]Count{math.NaN(): 0, math.Inf(1): Max, math.Inf(-1): 0, -0.5: 0, 1.9: 1, 1 << 53: Max} {
		if got := FromFloat(v); got != want {
			t.Errorf("%g: %d, want %d", v, got, want)
		}
	}
}

// Guards against a number of another program that is decoded to an amount out of range, and against large ones that are refused.
func FuzzParse(f *testing.F) {
	for _, text := range []string{"0", "-1", "+7", "9223372036854775807", "9223372036854775808", "-9223372036854775809", "9007199254740993", "1e3", "", "null", "0x10", "1_000", strings.Repeat("9", 400)} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		n, err := Parse(text)
		want, isNumber := new(big.Int).SetString(text, 10)
		isNumber = isNumber && !strings.Contains(text, "_")
		switch {
		case (err == nil) != (isNumber && want.Sign() >= 0):
			t.Errorf("%q: error %v", text, err)
		case err == nil && n != clamp(want):
			t.Errorf("%q: %d", text, n)
		}
		var decoded struct{ N *Count }
		if json.Unmarshal([]byte(`{"N":`+text+`}`), &decoded) == nil && decoded.N != nil && (*decoded.N < 0 || *decoded.N > Max) {
			t.Errorf("%q: %d from JSON", text, *decoded.N)
		}
	})
}

// Guards against an amount of another instance that is out of range.
func FuzzUnmarshalCBOR(f *testing.F) {
	for _, v := range []any{0, 5, int64(Max), int64(Max) + 1, -1, math.MinInt64, uint64(math.MaxUint64), 1.5, "9", nil, map[string]int64{"w": math.MaxInt64}} {
		b, err := cbor.Marshal(v)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var one Count
		var more map[string]Count
		if cbor.Unmarshal(data, &one) == nil && one != one.bound() {
			t.Errorf("%x: %d", data, one)
		}
		_ = cbor.Unmarshal(data, &more) // what was decoded before an error must be in range as well
		for k, n := range more {
			if n != n.bound() {
				t.Errorf("%x: %q is %d", data, k, n)
			}
		}
	})
}

// isAmount reports whether t is Count or Delta.
func isAmount(t types.Type) bool {
	named, ok := types.Unalias(t).(*types.Named)
	return ok && named.Obj().Pkg() != nil && strings.HasSuffix(named.Obj().Pkg().Path(), "/pkg/tokens")
}

// arithmetic holds the operators that can leave the range of an amount.
var arithmetic = map[token.Token]bool{token.ADD: true, token.SUB: true, token.MUL: true, token.QUO: true, token.SHL: true,
	token.ADD_ASSIGN: true, token.SUB_ASSIGN: true, token.MUL_ASSIGN: true, token.SHL_ASSIGN: true, token.INC: true, token.DEC: true}

// Guards against code that calculates with amounts by operators, which overflow unseen, or makes one of a number unchecked.
func TestAmountsAreCalculatedByMethods(t *testing.T) {
	fset := token.NewFileSet()
	pkgs, err := packages.Load(&packages.Config{Mode: packages.LoadSyntax, Fset: fset}, "../...", "../../platform")
	if err != nil {
		t.Fatal(err)
	}
	users := 0
	for _, pkg := range pkgs {
		for _, e := range pkg.Errors {
			t.Error(e)
		}
		if strings.HasSuffix(pkg.PkgPath, "/pkg/tokens") {
			continue
		}
		isVariable := func(e ast.Expr) bool {
			tv := pkg.TypesInfo.Types[e]
			return tv.Type != nil && tv.Value == nil && isAmount(tv.Type)
		}
		check := func(wrong bool, n ast.Node) {
			if wrong {
				t.Errorf("%s: use a method of the amount", fset.Position(n.Pos()))
			}
		}
		for _, file := range pkg.Syntax {
			ast.Inspect(file, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.BinaryExpr:
					check(arithmetic[n.Op] && (isVariable(n.X) || isVariable(n.Y)), n)
				case *ast.AssignStmt:
					check(arithmetic[n.Tok] && isVariable(n.Lhs[0]), n)
				case *ast.IncDecStmt:
					check(isVariable(n.X), n)
				case *ast.UnaryExpr:
					check(n.Op == token.SUB && isVariable(n.X), n)
				case *ast.CallExpr:
					check(pkg.TypesInfo.Types[n.Fun].IsType() && isVariable(n), n)
				case *ast.Ident:
					if o := pkg.TypesInfo.Uses[n]; o != nil && isAmount(o.Type()) {
						users++
					}
				}
				return true
			})
		}
	}
	if users == 0 {
		t.Error("no package uses amounts")
	}
}
