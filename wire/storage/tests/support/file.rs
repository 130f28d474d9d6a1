//! An open file of the disk in memory.

use super::*;

pub struct FakeFile {
    pub disk: FakeDisk,
    pub inode: usize,
}

impl StorageFile for FakeFile {
    fn length(&mut self) -> io::Result<u64> {
        Ok(self.disk.lock().inodes[self.inode].visible.len() as u64)
    }

    fn read_all(&mut self) -> io::Result<Vec<u8>> {
        let mut disk = self.disk.lock();
        if !disk.begin_simple(false)? {
            return Err(error("ended"));
        }
        Ok(disk.inodes[self.inode].visible.clone())
    }

    fn write_at(&mut self, offset: u64, bytes: &[u8]) -> io::Result<usize> {
        let mut disk = self.disk.lock();
        if disk.full && !disk.dead {
            disk.operations += 1;
            return Err(io::ErrorKind::StorageFull.into());
        }
        let outcome = disk.begin()?;
        let written = match outcome {
            Outcome::Done | Outcome::Dies => bytes.len(),
            Outcome::Fault(Fault::Full) => return Err(io::ErrorKind::StorageFull.into()),
            Outcome::Fault(Fault::Short) => 1 + disk.random().below(bytes.len()),
            Outcome::Fault(Fault::Error) => disk.random().below(bytes.len() + 1),
        };
        disk.change(
            self.inode,
            Change::Write {
                offset: offset as usize,
                bytes: bytes[..written].to_vec(),
            },
        );
        match outcome {
            Outcome::Dies | Outcome::Fault(Fault::Error) => Err(error("input/output error")),
            _ => Ok(written),
        }
    }

    fn set_length(&mut self, length: u64) -> io::Result<()> {
        let mut disk = self.disk.lock();
        let done = disk.begin_simple(true)?;
        disk.change(self.inode, Change::Length(length as usize));
        if done {
            Ok(())
        } else {
            Err(error("ended"))
        }
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut disk = self.disk.lock();
        match disk.begin()? {
            Outcome::Dies => return Err(error("ended")),
            Outcome::Fault(Fault::Error) => {
                disk.fail_sync(self.inode);
                return Err(error("input/output error"));
            }
            _ => {}
        }
        let Inode {
            durable, pending, ..
        } = &mut disk.inodes[self.inode];
        pending.drain(..).for_each(|change| change.apply(durable));
        disk.syncs += 1;
        Ok(())
    }
}
