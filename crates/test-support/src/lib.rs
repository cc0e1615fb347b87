//! In-process fakes of the platform, backend servers and callers, and fixtures for tests.

pub mod backend;
pub mod caller;
pub mod layouts;
pub mod platform;
pub mod property;
pub mod runtime;
