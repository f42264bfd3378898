//! The local back end as its node sees it.

/// Health of the local back end. A hint: health endpoints can lag or mislead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackendHealth {
    /// Not checked often enough yet.
    Starting,
    /// The last checks were good.
    Ready,
    /// Several checks in a row failed.
    Unready,
}
