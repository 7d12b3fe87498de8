package endpoint

import (
	"encoding/json"

	"github.com/kataras/iris/v12"
)

// ReadJSON decodes the request body into v. If that fails, it answers 400 and
// returns false.
func ReadJSON(ctx iris.Context, v any) bool {
	if err := json.NewDecoder(ctx.Request().Body).Decode(v); err != nil {
		WriteError(ctx, iris.StatusBadRequest, "malformed JSON: "+err.Error())
		return false
	}
	return true
}

// WriteJSON responds with v as JSON.
func WriteJSON(ctx iris.Context, status int, v any) {
	ctx.StatusCode(status)
	ctx.ContentType("application/json")
	_ = json.NewEncoder(ctx.ResponseWriter()).Encode(v) // a write fails only when the client has disconnected
}

// WriteError responds with an error in the usual format of model APIs.
func WriteError(ctx iris.Context, status int, message string) {
	WriteJSON(ctx, status, iris.Map{"error": iris.Map{"message": message}})
}
