package operator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/labstack/echo/v4"

	"skylarkport/internal/operator/api"
	"skylarkport/internal/result"
)

const problemType = "application/problem+json"

// decode decodes the JSON body of a call into v and rejects unknown fields and
// trailing data. Its errors have the given code, or result.RequestTooLarge.
func decode(c echo.Context, v any, code result.Code) error {
	d := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return decodeError(err, code)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return result.Errorf(code, "data follows the JSON object")
	}
	return nil
}

func decodeError(err error, code result.Code) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return result.Errorf(result.RequestTooLarge, "body is larger than %d bytes", tooLarge.Limit)
	}
	return result.Wrap(code, err, "body")
}

// writeJSON responds with v as JSON. If err is not nil, it writes nothing and returns
// err, which the server passes to writeError.
func writeJSON(c echo.Context, v any, err error) error {
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, v)
}

// writeError responds with err as a problem document.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	code, detail := codeAndDetail(err)
	info := code.Info()
	p := api.Problem{Code: int(code), Title: info.Name, Detail: detail, NotRun: info.NotRun}
	body, _ := json.Marshal(p)
	_ = c.Blob(info.Status, problemType, body)
}

// codeAndDetail returns the result code of err and its text without the code. An
// error of echo for the caller's fault, such as an unknown path, is
// result.RequestBad.
func codeAndDetail(err error) (result.Code, string) {
	var he *echo.HTTPError
	if errors.As(err, &he) && he.Code < http.StatusInternalServerError {
		return result.RequestBad, he.Error()
	}
	code := result.Of(err)
	return code, strings.TrimPrefix(err.Error(), fmt.Sprintf("%d %s: ", code, code))
}
