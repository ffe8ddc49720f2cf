//! The demo: stand-ins, three daemons, an operator, a customer and a trainer in one process.

mod demo_checks;
mod demo_site;
mod scenes;

pub use scenes::run;
