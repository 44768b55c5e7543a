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

// decode reads the strict JSON body of a call into v. A fault has the code bad.
func decode(c echo.Context, v any, bad result.Code) error {
	d := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return decodeError(err, bad)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return result.Errorf(bad, "data follows the JSON object")
	}
	return nil
}

func decodeError(err error, bad result.Code) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return result.Errorf(result.RequestTooLarge, "body over %d bytes", large.Limit)
	}
	return result.Wrap(bad, err, "body")
}

func answer(c echo.Context, v any, err error) error {
	if err != nil {
		return err
	}
	return c.JSON(http.StatusOK, v)
}

func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	code, detail := codeOf(err)
	info := code.Info()
	p := api.Problem{Code: int(code), Title: info.Name, Detail: detail, NotRun: info.NotRun}
	body, _ := json.Marshal(p)
	_ = c.Blob(info.Status, problemType, body)
}

func codeOf(err error) (result.Code, string) {
	var he *echo.HTTPError
	if errors.As(err, &he) && he.Code < http.StatusInternalServerError {
		return result.RequestBad, he.Error()
	}
	code := result.Of(err)
	return code, strings.TrimPrefix(err.Error(), fmt.Sprintf("%d %s: ", code, code))
}
