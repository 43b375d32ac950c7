"""Emulators of the systems that catkinknot depends on, with injectable faults."""

from ._apps import backend_app, list_app, log_app
from ._backend_server import BackendServer
from ._faults import Faults
from ._http import Reply, Request, serve_json
from ._instance_list import InstanceList
from ._keyed_store import KeyedStore, StoreFaults, StoreView
from ._log_store import LogStore
from ._platform_http import open_http, server_app, server_record, store_app
from ._ports import IP, free_ports
from ._task_server import ServerFaults, TaskServer, TaskServers

__all__ = [
    "IP",
    "BackendServer",
    "Faults",
    "InstanceList",
    "KeyedStore",
    "LogStore",
    "Reply",
    "Request",
    "ServerFaults",
    "StoreFaults",
    "StoreView",
    "TaskServer",
    "TaskServers",
    "backend_app",
    "free_ports",
    "list_app",
    "log_app",
    "open_http",
    "serve_json",
    "server_app",
    "server_record",
    "store_app",
]
