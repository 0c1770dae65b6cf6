//! Why a controller does not start or an action of it failed.

use bluebell_daemon::ops::ListenError;

/// Why a controller does not start.
#[derive(Debug, thiserror::Error)]
pub enum ControllerError {
    /// The HTTP server did not start.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// No peer connections can be taken.
    #[error("failed to listen for peers: {0}")]
    Peers(#[from] std::io::Error),
    /// The metrics could not be registered.
    #[error("failed to register metrics: {0}")]
    Metrics(#[from] prometheus::Error),
}
