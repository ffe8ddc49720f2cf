//! The platform's interfaces for ordering upstreams, listing VMs, and taking usage reports.

mod order;
mod usage_report;
mod vm_list;

pub use order::{OrderAction, OrderRequest, OrderResponse, OrderState};
pub use usage_report::{UsageReport, UsageReportLine};
pub use vm_list::{VmEntry, VmList, VmRole, VmState};
