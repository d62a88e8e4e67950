package docs

import (
	"go/ast"
	"strings"
)

// attributeKeys returns the keys of a call's attributes; spread says that the last argument stands for
// many.
func (r *logReader) attributeKeys(args []ast.Expr, spread bool) (keys []string) {
	for i := 0; i < len(args); i++ {
		call, isCall := args[i].(*ast.CallExpr)
		switch {
		case spread && i == len(args)-1:
			keys = append(keys, r.keysOfList(args[i])...)
		case isCall:
			keys = append(keys, r.keysOfAttribute(call)...)
		default:
			names := r.keyConstants(args[i])
			if len(names) == 0 {
				r.addProblem(args[i], "key is no constant")
			}
			if i++; i == len(args) {
				r.addProblem(args[i-1], "key without a value")
			}
			keys = append(keys, names...)
		}
	}
	return keys
}

// keyConstants returns the constant that a key is, or, where it is a parameter of the function, the constants
// that the package's calls give for it.
func (r *logReader) keyConstants(expr ast.Expr) []string {
	if text, ok := r.constantText(expr); ok {
		return []string{text}
	}
	name, ok := expr.(*ast.Ident)
	if !ok || r.enclosing == nil {
		return nil
	}
	index := 0
	for _, field := range r.enclosing.Type.Params.List {
		for _, parameter := range field.Names {
			if parameter.Name == name.Name {
				return r.argumentConstants(r.enclosing.Name.Name, index)
			}
			index++
		}
	}
	return nil
}

// argumentConstants returns the constants that the package gives a function for a parameter; none if one of
// them is no constant.
func (r *logReader) argumentConstants(function string, index int) (texts []string) {
	constant := true
	for _, declarations := range r.functions {
		for _, declaration := range declarations {
			ast.Inspect(declaration, func(node ast.Node) bool {
				call, ok := node.(*ast.CallExpr)
				if !ok || calleeOf(call) != function || index >= len(call.Args) {
					return true
				}
				text, ok := r.constantText(call.Args[index])
				constant = constant && ok
				texts = append(texts, text)
				return true
			})
		}
	}
	if !constant {
		return nil
	}
	return texts
}

// keysOfAttribute returns the keys of an attribute that a call makes: of package slog, or a function of
// the package that returns one.
func (r *logReader) keysOfAttribute(call *ast.CallExpr) (keys []string) {
	if owner, method, ok := selection(call.Fun); ok && owner == "slog" && len(call.Args) > 0 {
		if method != "Group" {
			return r.attributeKeys([]ast.Expr{call.Args[0], call}, false)
		}
		for _, key := range r.attributeKeys(call.Args[1:], call.Ellipsis.IsValid()) {
			keys = append(keys, r.groupName(call.Args[0])+"."+key)
		}
		return keys
	}
	for _, function := range r.functions[calleeOf(call)] {
		ast.Inspect(function, func(node ast.Node) bool {
			if result, ok := node.(*ast.ReturnStmt); ok && len(result.Results) == 1 {
				keys = append(keys, r.attributeKeys(result.Results, false)...)
			}
			return true
		})
	}
	if len(keys) == 0 {
		r.addProblem(call, "attributes can't be read")
	}
	return keys
}

// keysOfList returns the keys of a list of attributes that a function of the package returns: those of
// all lists that it makes and of all that it appends.
func (r *logReader) keysOfList(expr ast.Expr) (keys []string) {
	if call, ok := expr.(*ast.CallExpr); ok {
		for _, function := range r.functions[calleeOf(call)] {
			ast.Inspect(function, func(node ast.Node) bool {
				switch node := node.(type) {
				case *ast.CompositeLit:
					if _, isList := node.Type.(*ast.ArrayType); isList {
						keys = append(keys, r.keysOfListLiteral(node)...)
					}
				case *ast.CallExpr:
					if calleeOf(node) == "append" && len(node.Args) > 1 {
						keys = append(keys, r.attributeKeys(node.Args[1:], node.Ellipsis.IsValid())...)
					}
				}
				return true
			})
		}
	}
	if len(keys) == 0 {
		r.addProblem(expr, "attributes can't be read")
	}
	return keys
}

// keysOfListLiteral returns the keys of a literal list of attributes; lists of another type have none.
func (r *logReader) keysOfListLiteral(list *ast.CompositeLit) []string {
	if element, ok := list.Type.(*ast.ArrayType).Elt.(*ast.Ident); !ok || element.Name != "any" {
		return nil
	}
	return r.attributeKeys(list.Elts, false)
}

// groupName is a group's name, or how a page writes one that is made: "tierN" for a number behind a
// constant, "CLASS" for the name of a class.
func (r *logReader) groupName(expr ast.Expr) string {
	if text, ok := r.constantText(expr); ok {
		return text
	}
	if owner, _, ok := selection(expr); ok {
		return strings.ToUpper(owner)
	}
	if call, ok := expr.(*ast.CallExpr); ok && len(call.Args) == 2 {
		if text, ok := r.constantText(call.Args[0]); ok {
			return strings.TrimSuffix(text, "%d") + "N"
		}
	}
	r.addProblem(expr, "name of a group can't be read")
	return ""
}
