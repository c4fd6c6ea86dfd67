"""Who a caller is, and what each customer may use of the deployment."""

from __future__ import annotations
