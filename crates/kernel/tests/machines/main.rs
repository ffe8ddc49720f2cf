//! Stateful fuzzing of the kernel's state machines against simple oracles, with fixed seeds.

mod sequence;

mod claims;
mod configuration;
mod duties;
mod fairness;
mod routes;
mod small_laws;
mod steps;
mod usage;
