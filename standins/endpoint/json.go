package endpoint

import (
	"encoding/json"

	"github.com/kataras/iris/v12"
)

// ReadJSON decodes the request body into v and refuses the request with 400 when
// that fails.
func ReadJSON(ctx iris.Context, v any) bool {
	if err := json.NewDecoder(ctx.Request().Body).Decode(v); err != nil {
		WriteError(ctx, iris.StatusBadRequest, "malformed JSON: "+err.Error())
		return false
	}
	return true
}

// WriteJSON answers with v.
func WriteJSON(ctx iris.Context, status int, v any) {
	ctx.StatusCode(status)
	ctx.ContentType("application/json")
	_ = json.NewEncoder(ctx.ResponseWriter()).Encode(v) // a failed write means that the client has left
}

// WriteError answers with an error in the form of the usual model API.
func WriteError(ctx iris.Context, status int, message string) {
	WriteJSON(ctx, status, iris.Map{"error": iris.Map{"message": message}})
}
