"""Take VMs down for maintenance within availability budgets."""
