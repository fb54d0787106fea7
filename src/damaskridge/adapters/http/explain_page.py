"""The operators' page that explains where a request would go."""

from collections.abc import Callable
from urllib.parse import parse_qsl

import msgspec

from damaskridge.adapters.http.operators_app import JsonPage
from damaskridge.model.explanations import ExplainedRequest, Explanation

__all__ = ["explain_page"]


def explain_page(explain: Callable[[ExplainedRequest], Explanation]) -> JsonPage:
    """
    Return the page that answers a query with an explanation.

    Parameters
    ----------
    explain : callable
        Explains a request.
    """

    def respond(query: bytes) -> tuple[int, bytes]:
        fields = dict(parse_qsl(query.decode("ascii", "replace")))
        try:
            request = msgspec.convert(fields, ExplainedRequest, strict=False)
        except msgspec.ValidationError as error:
            return 400, msgspec.json.encode({"error": str(error)})
        return 200, msgspec.json.encode(explain(request))

    return respond
