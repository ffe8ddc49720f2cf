//! The whole path in one process: stand-ins, three daemons, an operator, customers and a trainer.

mod demo_check;
mod demo_site;
mod scenes;

pub use scenes::run;
