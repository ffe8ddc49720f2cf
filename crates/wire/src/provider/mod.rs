//! Messages of the platform's interfaces for orders of upstreams, for the VM list and for usage reports.

mod order;
mod usage_report;
mod vm_list;

pub use order::{OrderAction, OrderRequest, OrderResponse, OrderState};
pub use usage_report::{UsageReport, UsageReportLine};
pub use vm_list::{VmEntry, VmList, VmRole, VmState};
