package leader

import (
	"reflect"
	"testing"
)

// Each component has all the components that it calls.
func TestComponentsAreConnected(t *testing.T) {
	optional := map[string]bool{"progress": true} // set only while lost data is written back
	term := reflect.ValueOf(newTestTerm(t)).Elem()
	for i := range term.NumField() {
		component := term.Field(i)
		if component.Kind() != reflect.Pointer || term.Type().Field(i).Anonymous {
			continue
		}
		name := term.Type().Field(i).Name
		if component.IsNil() {
			t.Errorf("no %s", name)
			continue
		}
		for k := range component.Elem().NumField() {
			field := component.Elem().Type().Field(k)
			if field.Type.Kind() == reflect.Pointer && !optional[field.Name] && component.Elem().Field(k).IsNil() {
				t.Errorf("%s has no %s", name, field.Name)
			}
		}
	}
}
