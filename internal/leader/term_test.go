package leader

import (
	"reflect"
	"testing"
)

// TestComponentsAreConnected guards against a component whose reference to another one is not set.
func TestComponentsAreConnected(t *testing.T) {
	optional := map[string]bool{"progress": true} // set only while lost data is restored
	term := reflect.ValueOf(newTestTerm(t)).Elem()
	for i := range term.NumField() {
		component := term.Field(i)
		if component.Kind() != reflect.Pointer || term.Type().Field(i).Anonymous {
			continue
		}
		name := term.Type().Field(i).Name
		if component.IsNil() {
			t.Errorf("component %s is nil", name)
			continue
		}
		for k := range component.Elem().NumField() {
			field := component.Elem().Type().Field(k)
			if field.Type.Kind() == reflect.Pointer && !optional[field.Name] && component.Elem().Field(k).IsNil() {
				t.Errorf("component %s: reference %s is nil", name, field.Name)
			}
		}
	}
}
