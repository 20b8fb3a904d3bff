// Package wrapnil checks that no function returns a nil or empty value beside a wrapped
// error that may be nil itself. Wrapping a nil error with samber/oops gives a nil error, so
// the caller would take the value for a result.
package wrapnil

import (
	"go/ast"
	"go/token"
	"go/types"
	"strings"

	"golang.org/x/tools/go/analysis"
	"golang.org/x/tools/go/analysis/passes/inspect"
	"golang.org/x/tools/go/ast/inspector"
)

// Analyzer reports return statements with a nil or empty value and a wrapped error that
// is not known to be non-nil.
var Analyzer = &analysis.Analyzer{
	Name:     "wrapnil",
	Doc:      "reports a nil or empty value returned beside a wrapped error that may be nil",
	Requires: []*analysis.Analyzer{inspect.Analyzer},
	Run:      run,
}

const wrapPackage = "github.com/samber/oops"

func run(pass *analysis.Pass) (any, error) {
	in := pass.ResultOf[inspect.Analyzer].(*inspector.Inspector)
	in.WithStack([]ast.Node{(*ast.ReturnStmt)(nil)}, func(n ast.Node, push bool, stack []ast.Node) bool {
		r := n.(*ast.ReturnStmt)
		if !push || len(r.Results) < 2 || !anyZero(pass, r.Results[:len(r.Results)-1]) {
			return true
		}
		wrapped := wrappedError(pass, r.Results[len(r.Results)-1])
		if wrapped == nil || isPackageVariable(pass, wrapped) || isChecked(types.ExprString(wrapped), stack) {
			return true
		}
		pass.Reportf(r.Pos(), "a nil or empty value is returned beside %s wrapped, which may be nil: check it first or return another error", types.ExprString(wrapped))
		return true
	})
	return nil, nil
}

// anyZero reports whether one of the expressions is nil or an empty composite literal.
func anyZero(pass *analysis.Pass, list []ast.Expr) bool {
	for _, x := range list {
		literal, ok := x.(*ast.CompositeLit)
		if pass.TypesInfo.Types[x].IsNil() || ok && len(literal.Elts) == 0 {
			return true
		}
	}
	return false
}

// wrappedError returns the error that x wraps, or nil if x is no call that wraps one.
func wrappedError(pass *analysis.Pass, x ast.Expr) ast.Expr {
	call, ok := x.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return nil
	}
	f, ok := call.Fun.(*ast.SelectorExpr)
	if !ok || f.Sel.Name != "Wrap" && f.Sel.Name != "Wrapf" {
		return nil
	}
	if o := pass.TypesInfo.Uses[f.Sel]; o == nil || o.Pkg() == nil || o.Pkg().Path() != wrapPackage {
		return nil
	}
	return call.Args[0]
}

// isPackageVariable reports whether x is a variable of a package, such as io.EOF.
func isPackageVariable(pass *analysis.Pass, x ast.Expr) bool {
	var name *ast.Ident
	switch v := x.(type) {
	case *ast.Ident:
		name = v
	case *ast.SelectorExpr:
		name = v.Sel
	default:
		return false
	}
	o, ok := pass.TypesInfo.Uses[name].(*types.Var)
	return ok && o.Pkg() != nil && o.Parent() == o.Pkg().Scope()
}

// isChecked reports whether the innermost statement of the stack is reached only if the
// named error is not nil.
func isChecked(name string, stack []ast.Node) bool {
	for i := len(stack) - 2; i >= 0; i-- {
		inner := stack[i+1]
		switch outer := stack[i].(type) {
		case *ast.IfStmt:
			if inner == outer.Body && impliesError(outer.Cond, name) {
				return true
			}
		case *ast.CaseClause:
			for _, x := range outer.List {
				if impliesError(x, name) {
					return true
				}
			}
		case *ast.CommClause:
			if receivesDone(outer.Comm, name) {
				return true
			}
		case *ast.BlockStmt:
			if nilCaseLeft(outer, inner, name) {
				return true
			}
		case *ast.FuncLit, *ast.FuncDecl:
			return false
		}
	}
	return false
}

// impliesError reports whether the named error is not nil where a condition holds.
func impliesError(condition ast.Expr, name string) bool {
	switch x := condition.(type) {
	case *ast.ParenExpr:
		return impliesError(x.X, name)
	case *ast.BinaryExpr:
		if x.Op == token.LAND {
			return impliesError(x.X, name) || impliesError(x.Y, name)
		}
		return x.Op == token.NEQ && types.ExprString(x.X) == name && types.ExprString(x.Y) == "nil"
	case *ast.CallExpr:
		f := types.ExprString(x.Fun)
		return (f == "errors.Is" || f == "errors.As") && len(x.Args) == 2 && types.ExprString(x.Args[0]) == name
	}
	return false
}

// receivesDone reports whether the named error is that of a context, and s receives from
// the context's Done channel.
func receivesDone(s ast.Stmt, name string) bool {
	x, ok := s.(*ast.ExprStmt)
	if !ok {
		return false
	}
	context, isErr := strings.CutSuffix(name, ".Err()")
	return isErr && types.ExprString(x.X) == "<-"+context+".Done()"
}

// nilCaseLeft reports whether a statement before inner leaves the block when the named
// error is nil.
func nilCaseLeft(block *ast.BlockStmt, inner ast.Node, name string) bool {
	for _, s := range block.List {
		if s == inner {
			return false
		}
		check, ok := s.(*ast.IfStmt)
		if !ok || len(check.Body.List) == 0 || strings.ReplaceAll(types.ExprString(check.Cond), " ", "") != name+"==nil" {
			continue
		}
		switch check.Body.List[len(check.Body.List)-1].(type) {
		case *ast.ReturnStmt, *ast.BranchStmt:
			return true
		}
	}
	return false
}
