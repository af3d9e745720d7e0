"""An object store in memory, served as S3 REST."""

from __future__ import annotations

from typing import Any

from tornado.web import Application

from stand_ins.faults import FAULTS_PATH, Faults, FaultsHandler, FaultyHandler


class ObjectHandler(FaultyHandler):
    """Serves PUT and GET of one object."""

    def put(self, name: str) -> None:
        """Stores the object."""
        self.parts['objects'][name] = self.request.body
        self.reply('')

    def get(self, name: str) -> None:
        """Answers with the object, or with status 404."""
        data = self.parts['objects'].get(name)
        self.set_status(404 if data is None else 200)
        self.finish(data or b'')


class ObjectNamesHandler(FaultyHandler):
    """Lists the names of all objects, for checkers."""

    def get(self) -> None:
        """Answers with the sorted names."""
        self.finish({'names': sorted(self.parts['objects'])})


def make_objects_app(objects: dict[str, bytes], faults: Faults) -> Application:
    """Builds the HTTP application of an object store."""
    parts: dict[str, Any] = {'objects': objects, 'faults': faults}
    return Application(
        [
            (FAULTS_PATH, FaultsHandler, {'faults': faults}),
            ('/_names', ObjectNamesHandler, parts),
            (r'/[^/]+/(.+)', ObjectHandler, parts),
        ]
    )
