"""Commands about contracts, customers and services."""

from typing import Any

from cyclopts import App

from ..documents import (
    ContractDocument,
    FindingList,
    Section,
    decode_contract,
)
from ..errors import FindingsError
from ._apply import ApplyPlan
from ._client import Table
from ._tool import Tool


def add_contract_commands(app: App, tool: Tool) -> None:
    """Add the group ``contract``."""
    contract = App(name="contract", help="Contracts and files with contracts.")
    app.command(contract)

    @contract.command
    def apply(
        file: str,
        *,
        base: int | None = None,
        change_id: str = "",
        force: bool = False,
        watch: bool = True,
    ) -> None:
        """Bring the fleet to what a file describes.

        Args:
            file: TOML or JSON file with contracts, customers, services and data
                centres.
            base: Version the change is based on; by default the current one.
            change_id: Id of the change; a repeated id has one effect.
            force: Commit although a region is cut off or backend servers are missing.
            watch: Wait until the change is in force everywhere.
        """
        plan = ApplyPlan(file)
        plan.compare(tool.client)
        if not plan.operations:
            tool.say("no difference; nothing to do")
            return
        start = plan.base if base is None else base
        answer = tool.rehearse(plan.operations, start, plan.location)
        if not force:
            _raise_findings(answer, plan)
        receipt = tool.commit(
            plan.operations,
            base=start,
            change_id=change_id,
            force=force,
            placer=plan.location,
        )
        tool.report_receipt(receipt, watch)

    @contract.command(name="dry-run")
    def dry_run(file: str) -> None:
        """Show what applying a file would change, and its faults.

        Args:
            file: TOML or JSON file.
        """
        plan = ApplyPlan(file)
        plan.compare(tool.client)
        if not plan.operations:
            tool.say("no difference")
            return
        answer = tool.rehearse(plan.operations, plan.base, plan.location)
        if tool.json:
            tool.show_json(answer)
        _raise_findings(answer, plan)

    @contract.command
    def show(name: str) -> None:
        """Show one contract in the form that ``apply`` reads.

        Args:
            name: Name of the contract.
        """
        table = tool.client.get("contracts", name)["contract"]
        if tool.json:
            tool.show_json(table)
            return
        section = Section(table, FindingList("answer"))
        document = ContractDocument(contracts=(decode_contract(section),))
        tool.console.print(document.to_toml(), markup=False, end="")

    @contract.command(name="list")
    def list_contracts() -> None:
        """List all contracts."""
        answer = tool.client.get("contracts")
        rows = [_contract_row(item) for item in answer["contracts"]]
        columns = ("contract", "customer", "services", "rate/s", "home regions")
        _show_list(tool, answer, columns, rows)

    @contract.command
    def history(name: str) -> None:
        """List the recent changes of one contract.

        Args:
            name: Name of the contract.
        """
        answer = tool.client.get("contracts", name, "history")
        rows = [
            [item["version"], item["author"], item["change_id"], _kinds(item)]
            for item in answer["changes"]
        ]
        _show_list(tool, answer, ("version", "author", "change id", "what"), rows)

    @contract.command
    def delete(
        name: str, *, change_id: str = "", base: int | None = None, watch: bool = True
    ) -> None:
        """Delete a contract; its requests are refused from then on.

        Args:
            name: Name of the contract.
            change_id: Id of the change; a repeated id has one effect.
            base: Version the change is based on.
            watch: Wait until the change is in force everywhere.
        """
        operation = {"kind": "delete_contract", "name": name}
        receipt = tool.commit_state(operation, change_id, False, base)
        tool.report_receipt(receipt, watch)


def add_customer_commands(app: App, tool: Tool) -> None:
    """Add the groups ``customer`` and ``service``."""
    customer = App(name="customer", help="Customers.")
    service = App(name="service", help="Services.")
    app.command(customer)
    app.command(service)

    @customer.command(name="list")
    def list_customers() -> None:
        """List all customers."""
        answer = tool.client.get("customers")
        rows = [[item["name"], item["team"]] for item in answer["customers"]]
        _show_list(tool, answer, ("customer", "team"), rows)

    @customer.command(name="set")
    def set_customer(name: str, *, team: str, change_id: str = "") -> None:
        """Create or replace a customer.

        Args:
            name: Name of the customer.
            team: Team that owns its contracts.
            change_id: Id of the change; a repeated id has one effect.
        """
        table = {"name": name, "team": team}
        _set_entry(tool, "customer", table, change_id)

    @customer.command(name="delete")
    def delete_customer(name: str, *, change_id: str = "") -> None:
        """Delete a customer without contracts.

        Args:
            name: Name of the customer.
            change_id: Id of the change; a repeated id has one effect.
        """
        _delete_entry(tool, "customer", name, change_id)

    @service.command(name="list")
    def list_services() -> None:
        """List all services."""
        answer = tool.client.get("services")
        rows = [
            [item["name"], item["slots"], item["connections"]]
            for item in answer["services"]
        ]
        _show_list(tool, answer, ("service", "slots", "connections"), rows)

    @service.command(name="set")
    def set_service(
        name: str, *, slots: int = 2, connections: int = 220, change_id: str = ""
    ) -> None:
        """Create or replace a service.

        Args:
            name: Name of the service.
            slots: Requests that one backend server runs at a time.
            connections: Connections that one backend server accepts.
            change_id: Id of the change; a repeated id has one effect.
        """
        table = {"name": name, "slots": slots, "connections": connections}
        _set_entry(tool, "service", table, change_id)

    @service.command(name="delete")
    def delete_service(name: str, *, change_id: str = "") -> None:
        """Delete a service that no contract names.

        Args:
            name: Name of the service.
            change_id: Id of the change; a repeated id has one effect.
        """
        _delete_entry(tool, "service", name, change_id)


def _set_entry(tool: Tool, kind: str, table: Table, change_id: str) -> None:
    operation = {"kind": f"put_{kind}", kind: table}
    tool.report_receipt(tool.commit_state(operation, change_id, False), True)


def _delete_entry(tool: Tool, kind: str, name: str, change_id: str) -> None:
    operation = {"kind": f"delete_{kind}", "name": name}
    tool.report_receipt(tool.commit_state(operation, change_id, False), True)


def _raise_findings(answer: Table, plan: ApplyPlan) -> None:
    """Raise the findings of a dry run at their place in the file."""
    findings = FindingList("request")
    for item in answer["findings"]:
        findings.add(item["path"], item["code"], item["message"])
    if not findings.items:
        return
    for found in findings.items:
        found.location = plan.location(found.location.path)
    raise FindingsError(findings.items)


def _contract_row(item: Table) -> list[Any]:
    home = ", ".join(item["home"]["serve"]) or "every region"
    services = ", ".join(item["services"])
    return [item["name"], item["customer"], services, item["limits"]["rate"], home]


def _kinds(change: Table) -> str:
    return ", ".join(item["kind"] for item in change["operations"])


def _show_list(
    tool: Tool, answer: Table, columns: tuple[str, ...], rows: list[list[Any]]
) -> None:
    if tool.json:
        tool.show_json(answer)
    else:
        tool.show_rows(columns, rows)
