//! Tests that run the real binaries as separate processes.

mod support;

mod check;
mod configuration;
mod crasher;
mod demo;
mod duties;
mod hostile;
mod leaving;
mod path;
mod platform_breaks;
mod platform_bytes;
mod platform_crasher;
mod platform_departures;
mod platform_duties;
mod platform_heads;
mod platform_job_routes;
mod platform_jobs;
mod platform_leaving;
mod platform_limits;
mod platform_malformed;
mod platform_outdated;
mod platform_path;
mod platform_paths;
mod platform_reads;
mod platform_relays;
mod platform_software;
mod platform_statuses;
mod platform_stops;
mod platform_streams;
mod platform_usage;
mod reclaim;
mod requests;
mod samples;
mod soak;
