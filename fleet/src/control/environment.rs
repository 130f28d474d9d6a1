//! What a control machine runs on. Tests put a disk with faults in the place of the real one.

use lichenswitch_replication::Faults;
use lichenswitch_storage::{FileSystem, RealFileSystem};
use std::sync::Arc;

/// Gives each owner of files its own handle of the file system.
pub type FileSystems = Arc<dyn Fn() -> Box<dyn FileSystem>>;

/// What a control machine runs on.
#[derive(Clone)]
pub struct Environment {
    /// The files that hold its state.
    pub file_systems: FileSystems,
    /// Faults that tests plant to show that they would be found. None elsewhere.
    #[doc(hidden)]
    pub faults: Faults,
}

impl Default for Environment {
    /// The files of this machine.
    fn default() -> Environment {
        Environment {
            file_systems: Arc::new(|| Box::new(RealFileSystem)),
            faults: Faults::default(),
        }
    }
}

impl Environment {
    pub(super) fn file_system(&self) -> Box<dyn FileSystem> {
        (self.file_systems)()
    }
}
