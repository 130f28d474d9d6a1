//! The environment of a control machine. Tests replace the real disk with one that injects faults.

use lichenswitch_replication::Faults;
use lichenswitch_storage::{FileSystem, RealFileSystem};
use std::sync::Arc;

/// A function that creates a file system handle for each component that uses files.
pub type FileSystems = Arc<dyn Fn() -> Box<dyn FileSystem>>;

/// The dependencies of a control machine that tests replace.
#[derive(Clone)]
pub struct Environment {
    /// Creates handles of the file system that holds the machine's state.
    pub file_systems: FileSystems,
    /// Faults that tests inject to show that their checks detect them. Empty outside tests.
    #[doc(hidden)]
    pub faults: Faults,
}

impl Default for Environment {
    /// Returns an environment with the real file system and without faults.
    fn default() -> Environment {
        Environment {
            file_systems: Arc::new(|| Box::new(RealFileSystem)),
            faults: Faults::default(),
        }
    }
}

impl Environment {
    /// Creates a handle of the file system.
    pub(super) fn file_system(&self) -> Box<dyn FileSystem> {
        (self.file_systems)()
    }
}
