//! Model-based tests of the kernel's state machines: random command sequences from fixed seeds, checked against simple
//! reference models.

mod scaling;
mod sequence;

mod acceptance;
mod batches;
mod claims;
mod clients;
mod configuration;
mod departures;
mod duties;
mod evacuations;
mod fairness;
mod fleet_machines;
mod limits;
mod ownership;
mod paths;
mod pools;
mod reads;
mod routes;
mod small_machines;
mod steps;
mod streams;
mod suspects;
mod terms;
mod text_finish;
mod trials;
mod usage;
mod versions;
mod waiting;
mod watching;
