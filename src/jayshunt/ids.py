"""Define the types of names and ids that packages exchange."""

from typing import NewType

ClassName = NewType("ClassName", str)
ConfigVersion = NewType("ConfigVersion", int)
EntryId = NewType("EntryId", str)
Epoch = NewType("Epoch", int)
IdempotencyKey = NewType("IdempotencyKey", str)
JobId = NewType("JobId", str)
LeaseId = NewType("LeaseId", str)
PermitId = NewType("PermitId", str)
PlannedStopId = NewType("PlannedStopId", str)
PoolName = NewType("PoolName", str)
QueueName = NewType("QueueName", str)
RackName = NewType("RackName", str)
RegionName = NewType("RegionName", str)
RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)
TeamName = NewType("TeamName", str)
VmId = NewType("VmId", str)
WorkerId = NewType("WorkerId", str)
WorkspaceName = NewType("WorkspaceName", str)
ZoneName = NewType("ZoneName", str)
