//! Tests of the real binaries.

mod support;

mod check;
mod demo;
mod path;
