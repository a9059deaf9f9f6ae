"""Model requests: validates the body, chooses the class, acquires the claim.

Follows :mod:`.frontend`; each request then runs in :mod:`.completions`.
"""

from typing import Any

import orjson

from .. import exceptions
from ..coordination import documents

from . import admission
from . import answers
from . import callers
from . import completions
from . import idempotency
from . import lifecycle
from . import state

CLASS_HEADER = 'Cairnloom-Class'
IDEMPOTENCY_HEADER = 'Idempotency-Key'


class ModelRequests:
    """Serve the requests of the model API."""

    def __init__(
        self,
        gateway_state: state.GatewayState,
        admission_control: admission.Admission,
        claimer: idempotency.Claimer,
    ) -> None:
        self._state = gateway_state
        self._admission = admission_control
        self._claimer = claimer

    def list_models(self, caller: callers.CallerRequest) -> None:
        """Answer with the models of all configured classes."""
        targets = self._state.replica.document.classes.values()
        names = sorted({target.model for target in targets})
        body = {
            'object': 'list',
            'data': [
                {
                    'id': name,
                    'object': 'model',
                    'created': 0,
                    'owned_by': 'cairnloom',
                }
                for name in names
            ],
        }
        caller.answer(200, 'application/json', _to_json(body))

    async def serve(self, request: lifecycle.ActiveRequest) -> None:
        """Serve one completion request."""
        caller = request.caller
        try:
            prompt = answers.read_prompt(
                caller.body, caller.path.endswith('/chat/completions')
            )
        except exceptions.ProtocolError as fault:
            caller.refuse(callers.Refusal(400, str(fault)))
            return
        target = self._choose_class(caller, prompt)
        if isinstance(target, callers.Refusal):
            caller.refuse(target)
            return
        key = caller.header(IDEMPOTENCY_HEADER)
        if not key:
            await self._complete(request, prompt, target, None)
            return
        await self._serve_claimed(request, prompt, target, key)

    async def _serve_claimed(
        self,
        request: lifecycle.ActiveRequest,
        prompt: answers.Prompt,
        target: documents.ClassTarget,
        key: str,
    ) -> None:
        held_claim = await self._claimer.claim(request, key)
        if held_claim is None:
            return
        await self._complete(request, prompt, target, held_claim)

    async def _complete(
        self,
        request: lifecycle.ActiveRequest,
        prompt: answers.Prompt,
        target: documents.ClassTarget,
        held_claim: idempotency.HeldClaim | None,
    ) -> None:
        completion = completions.Completion(
            self._state, self._admission, request, prompt, target, held_claim
        )
        await completion.run()

    def _choose_class(
        self, caller: callers.CallerRequest, prompt: answers.Prompt
    ) -> documents.ClassTarget | callers.Refusal:
        classes = self._state.replica.document.classes
        class_name = caller.header(CLASS_HEADER)
        if class_name:
            target = classes.get(class_name)
            if target is None or target.model != prompt.body.model:
                return callers.Refusal(
                    404, 'no class %s for this model' % class_name[:64]
                )
            return target
        matching = [
            target
            for target in classes.values()
            if target.model == prompt.body.model
        ]
        if not matching:
            return callers.Refusal(
                404, 'no such model', code='model_not_found'
            )
        return max(matching, key=lambda item: item.first_token_seconds)


def _to_json(body: Any) -> bytes:
    return orjson.dumps(body)
