package agent

// inputContents is an input with what one of discovery's calls brings in it; the zero values
// otherwise.
type inputContents struct {
	input
	generation       int
	list             List
	err              error
	endedAfterNotice bool
}

func contentsOf(in input) inputContents {
	contents := inputContents{input: in}
	switch in := in.(type) {
	case endpointsFetched:
		contents.generation, contents.list, contents.err = in.generation, in.list, in.err
	case watchEvent:
		contents.generation, contents.list = in.generation, in.list
	case watchEnded:
		contents.generation, contents.err, contents.endedAfterNotice = in.generation, in.err, in.endedAfterNotice
	}
	return contents
}

// is reports whether an input is of the type T.
func is[T input](in input) bool {
	_, ok := in.(T)
	return ok
}
