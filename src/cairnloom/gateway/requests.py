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

    def list_models(self, http_request: callers.CallerRequest) -> None:
        """Answer with the models of all configured classes."""
        class_targets = self._state.replica.document.classes.values()
        model_names = sorted(
            {class_target.model for class_target in class_targets}
        )
        body = {
            'object': 'list',
            'data': [
                {
                    'id': name,
                    'object': 'model',
                    'created': 0,
                    'owned_by': 'cairnloom',
                }
                for name in model_names
            ],
        }
        http_request.answer(200, 'application/json', _to_json(body))

    async def serve(self, request: lifecycle.ActiveRequest) -> None:
        """Serve one completion request."""
        http_request = request.http_request
        try:
            prompt = answers.read_prompt(
                http_request.body,
                http_request.path.endswith('/chat/completions'),
            )
        except exceptions.ProtocolError as fault:
            http_request.refuse(callers.Refusal(400, str(fault)))
            return
        class_target = self._choose_class(http_request, prompt)
        if isinstance(class_target, callers.Refusal):
            http_request.refuse(class_target)
            return
        idempotency_key = http_request.header(IDEMPOTENCY_HEADER)
        if not idempotency_key:
            await self._complete(request, prompt, class_target, None)
            return
        await self._serve_claimed(
            request, prompt, class_target, idempotency_key
        )

    async def _serve_claimed(
        self,
        request: lifecycle.ActiveRequest,
        prompt: answers.Prompt,
        class_target: documents.ClassTarget,
        idempotency_key: str,
    ) -> None:
        held_claim = await self._claimer.claim(request, idempotency_key)
        if held_claim is None:
            return
        await self._complete(request, prompt, class_target, held_claim)

    async def _complete(
        self,
        request: lifecycle.ActiveRequest,
        prompt: answers.Prompt,
        class_target: documents.ClassTarget,
        held_claim: idempotency.HeldClaim | None,
    ) -> None:
        completion = completions.Completion(
            self._state,
            self._admission,
            request,
            prompt,
            class_target,
            held_claim,
        )
        await completion.run()

    def _choose_class(
        self, http_request: callers.CallerRequest, prompt: answers.Prompt
    ) -> documents.ClassTarget | callers.Refusal:
        classes = self._state.replica.document.classes
        class_name = http_request.header(CLASS_HEADER)
        if class_name:
            class_target = classes.get(class_name)
            if (
                class_target is None
                or class_target.model != prompt.options.model
            ):
                return callers.Refusal(
                    404, 'no class %s for this model' % class_name[:64]
                )
            return class_target
        matching_classes = [
            class_target
            for class_target in classes.values()
            if class_target.model == prompt.options.model
        ]
        if not matching_classes:
            return callers.Refusal(
                404, 'no such model', code='model_not_found'
            )
        return max(
            matching_classes,
            key=lambda matching_class: matching_class.first_token_seconds,
        )


def _to_json(body: Any) -> bytes:
    return orjson.dumps(body)
