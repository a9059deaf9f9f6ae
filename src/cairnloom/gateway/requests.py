"""Model requests: the body is checked, the class found, the claim asked."""

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
    """Serve the model API."""

    def __init__(
        self,
        shared: state.GatewayState,
        waiting: admission.Admission,
        claimer: idempotency.Claimer,
    ) -> None:
        self._state = shared
        self._admission = waiting
        self._claimer = claimer

    def list_models(self, caller: callers.CallerRequest) -> None:
        """Answer with the models that classes name."""
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
        """Serve one completion."""
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
        named = caller.header(CLASS_HEADER)
        if named:
            target = classes.get(named)
            if target is None or target.model != prompt.body.model:
                return callers.Refusal(
                    404, 'no class %s for this model' % named[:64]
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
