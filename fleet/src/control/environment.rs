//! The environment of a control machine. Tests put a disk with faults in place of the real one.

use lichenswitch_replication::Faults;
use lichenswitch_storage::{FileSystem, RealFileSystem};
use std::sync::Arc;

/// Gives each user of files a handle of the file system.
pub type FileSystems = Arc<dyn Fn() -> Box<dyn FileSystem>>;

/// The environment of a control machine.
#[derive(Clone)]
pub struct Environment {
    /// The files that hold its state.
    pub file_systems: FileSystems,
    /// Faults that tests plant to show that they would be found; none outside tests.
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
    /// A new handle of the file system.
    pub(super) fn file_system(&self) -> Box<dyn FileSystem> {
        (self.file_systems)()
    }
}
