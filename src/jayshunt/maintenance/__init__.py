"""Take VMs down for maintenance within the availability budgets of pools."""
