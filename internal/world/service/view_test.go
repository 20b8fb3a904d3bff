package service_test

import (
	"testing"

	"bramleydeal/internal/world/service"
	"github.com/matryer/is"
)

// TestAuthorize guards against a key that counts on some routes only, and against requests without
// a key that are taken for those of an account.
func TestAuthorize(t *testing.T) {
	public, private := &service.Route{Public: true}, &service.Route{}
	view := func(accounts ...service.Account) *service.View {
		return service.NewView(&service.Configuration{Accounts: accounts}, nil, false)
	}
	some := view(service.Account{Name: "planner", Keys: []string{"k-1", ""}}, service.Account{Name: "clerk", Keys: []string{"k-2"}})
	for name, test := range map[string]struct {
		view    *service.View
		route   *service.Route
		key     string
		account string
		ok      bool
	}{
		"key, public route":         {some, public, "k-1", "planner", true},
		"key, private route":        {some, private, "k-2", "clerk", true},
		"unknown key, public route": {some, public, "k-3", "", true},
		"unknown key":               {some, private, "k-3", "", false},
		"no key, public route":      {some, public, "", "", true},
		"no key":                    {some, private, "", "", false},
		"no accounts":               {view(), private, "k-1", "", true},
		"no configuration":          {service.NewView(nil, nil, false), private, "k-1", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a, ok := test.view.Authorize(test.route, test.key)
			is.Equal(ok, test.ok)
			is.Equal(a != nil, test.account != "")
			if a != nil {
				is.Equal(a.Name, test.account)
			}
		})
	}
}
