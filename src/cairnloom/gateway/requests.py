"""Model requests: the body is checked, the class found, the claim asked."""

from typing import Any

import orjson

from .. import exceptions
from ..coordination import documents

from . import admission
from . import answers
from . import callers
from . import claiming
from . import completions
from . import lives
from . import state

CLASS_HEADER = 'Cairnloom-Class'
IDEMPOTENCY_HEADER = 'Idempotency-Key'


class ModelRequests:
    """Serve the model API."""

    def __init__(
        self,
        shared: state.GatewayState,
        waiting: admission.Admission,
        claimer: claiming.Claimer,
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

    async def serve(self, life: lives.Life) -> None:
        """Serve one completion."""
        caller = life.caller
        try:
            prompt = answers.read_prompt(
                caller.body, caller.path.endswith('/chat/completions')
            )
        except exceptions.ProtocolError as fault:
            caller.refuse(callers.Refusal(400, str(fault)))
            return
        target = self._find_class(caller, prompt)
        if isinstance(target, callers.Refusal):
            caller.refuse(target)
            return
        key = caller.header(IDEMPOTENCY_HEADER)
        if not key:
            await self._complete(life, prompt, target, None)
            return
        await self._serve_claimed(life, prompt, target, key)

    async def _serve_claimed(
        self,
        life: lives.Life,
        prompt: answers.Prompt,
        target: documents.ClassTarget,
        key: str,
    ) -> None:
        held = await self._claimer.claim(life, key)
        if held is None:
            return
        await self._complete(life, prompt, target, held)

    async def _complete(
        self,
        life: lives.Life,
        prompt: answers.Prompt,
        target: documents.ClassTarget,
        held: claiming.HeldClaim | None,
    ) -> None:
        completion = completions.Completion(
            self._state, self._admission, life, prompt, target, held
        )
        await completion.run()

    def _find_class(
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
        fitting = [
            target
            for target in classes.values()
            if target.model == prompt.body.model
        ]
        if not fitting:
            return callers.Refusal(
                404, 'no such model', code='model_not_found'
            )
        return max(fitting, key=lambda item: item.first_token_seconds)


def _to_json(body: Any) -> bytes:
    return orjson.dumps(body)
