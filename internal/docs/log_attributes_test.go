package docs

import (
	"go/ast"
	"strings"
)

// attributeKeys returns the keys of the attributes in a call's arguments. With spread, the last
// argument is a list of attributes that the call spreads with "...".
func (r *logReader) attributeKeys(args []ast.Expr, spread bool) (keys []string) {
	for i := 0; i < len(args); i++ {
		call, isCall := args[i].(*ast.CallExpr)
		switch {
		case spread && i == len(args)-1:
			keys = append(keys, r.keysOfList(args[i])...)
		case isCall:
			keys = append(keys, r.keysOfAttribute(call)...)
		default:
			constants := r.keyConstants(args[i])
			if len(constants) == 0 {
				r.addProblem(args[i], "key isn't a constant")
			}
			if i++; i == len(args) {
				r.addProblem(args[i-1], "key without a value")
			}
			keys = append(keys, constants...)
		}
	}
	return keys
}

// keyConstants returns the constant value of a key. If the key is a parameter of the enclosing
// function, keyConstants returns the constants that the calls in the package pass for it.
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

// argumentConstants returns the constants that the calls of a function in the package pass as the
// argument with the index. It returns none if one of the arguments isn't a constant.
func (r *logReader) argumentConstants(function string, index int) (texts []string) {
	allConstant := true
	for _, declarations := range r.functions {
		for _, declaration := range declarations {
			ast.Inspect(declaration, func(node ast.Node) bool {
				call, ok := node.(*ast.CallExpr)
				if !ok || calleeOf(call) != function || index >= len(call.Args) {
					return true
				}
				text, ok := r.constantText(call.Args[index])
				allConstant = allConstant && ok
				texts = append(texts, text)
				return true
			})
		}
	}
	if !allConstant {
		return nil
	}
	return texts
}

// keysOfAttribute returns the keys of an attribute that a call returns. The callee is a function of
// package slog, or a function of the package being read that returns an attribute.
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

// keysOfList returns the keys of a list of attributes that a function of the package returns. These
// are the keys of all list literals in the function and of all attributes that it appends.
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

// keysOfListLiteral returns the keys of a literal []any of attributes. It returns none for a
// literal of another list type.
func (r *logReader) keysOfListLiteral(list *ast.CompositeLit) []string {
	if element, ok := list.Type.(*ast.ArrayType).Elt.(*ast.Ident); !ok || element.Name != "any" {
		return nil
	}
	return r.attributeKeys(list.Elts, false)
}

// groupName returns the name of a group of attributes. A name that is built at run time is returned
// as the page writes it: "tierN" for a constant followed by a number, "CLASS" for the name of a
// class.
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
