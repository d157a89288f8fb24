package chainer_test

import (
	"context"
	"fmt"
	"strconv"

	"github.com/dragonflyford/dragonflyford/chainer"
)

func ExampleJoin() {
	parse := chainer.Func[string, int](func(_ context.Context, in string) (int, error) {
		return strconv.Atoi(in)
	})
	double := chainer.Func[int, int](func(_ context.Context, in int) (int, error) {
		return 2 * in, nil
	})

	out, err := chainer.Join(parse, double).Apply(context.Background(), "21")
	fmt.Println(out, err)

	_, err = chainer.Join(parse, double).Apply(context.Background(), "x")
	fmt.Println(err)
	// Output:
	// 42 <nil>
	// strconv.Atoi: parsing "x": invalid syntax
}
