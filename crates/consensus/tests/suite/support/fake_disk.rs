//! An in-memory disk that can be full, fail a sync and lose unsynced data.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{Error, ErrorKind, Result};
use std::rc::Rc;

use mulberrywell_consensus::{FileStore, StoreFile};
use rand::Rng;
use rand_pcg::Pcg32;

/// File names with the indexes of their contents.
type FolderNames = BTreeMap<String, usize>;

#[derive(Debug, Default)]
struct FileContent {
    data: Vec<u8>,
    /// Length that survives a crash.
    synced_len: usize,
}

#[derive(Debug, Default)]
struct DiskState {
    files: Vec<FileContent>,
    names: FolderNames,
    /// Names at the last folder sync, followed by those after each later change.
    history: Vec<FolderNames>,
    /// Free space in bytes; `None` for unlimited.
    free: Option<usize>,
    sync_fails: bool,
}

/// A shared handle of the disk.
#[derive(Debug, Clone)]
pub struct FakeDisk {
    state: Rc<RefCell<DiskState>>,
}

/// An open file.
#[derive(Debug)]
pub struct FakeFile {
    state: Rc<RefCell<DiskState>>,
    file: usize,
}

impl FakeDisk {
    pub fn new() -> Self {
        let state = DiskState {
            history: vec![FolderNames::new()],
            ..DiskState::default()
        };
        FakeDisk {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Sets the free space in bytes; `None` for unlimited.
    pub fn set_free(&self, free: Option<usize>) {
        self.state.borrow_mut().free = free;
    }

    pub fn set_sync_fails(&self, fails: bool) {
        self.state.borrow_mut().sync_fails = fails;
    }

    /// Loses a random part of the unsynced data and names.
    pub fn crash(&self, rng: &mut Pcg32) {
        let mut state = self.state.borrow_mut();
        let survived = rng.random_range(0..state.history.len());
        state.names = state.history[survived].clone();
        state.history = vec![state.names.clone()];
        for file in &mut state.files {
            let len = rng.random_range(file.synced_len..=file.data.len());
            file.data.truncate(len);
            let is_torn = len > file.synced_len && rng.random_bool(0.3);
            if is_torn {
                let byte = rng.random_range(file.synced_len..len);
                file.data[byte] ^= 0x55;
            }
            file.synced_len = len;
        }
        state.free = None;
        state.sync_fails = false;
    }

    /// Changes one byte of a file.
    pub fn damage(&self, name: &str, byte: usize) {
        let mut state = self.state.borrow_mut();
        let file = state.names[name];
        state.files[file].data[byte] ^= 0x55;
    }

    /// Returns the length of a file.
    pub fn file_len(&self, name: &str) -> usize {
        let state = self.state.borrow();
        state.files[state.names[name]].data.len()
    }
}

impl DiskState {
    fn record_names(&mut self) {
        self.history.push(self.names.clone());
    }

    fn find(&self, name: &str) -> Result<usize> {
        let file = self.names.get(name).copied();
        file.ok_or_else(|| Error::from(ErrorKind::NotFound))
    }
}

impl FileStore for FakeDisk {
    type File = FakeFile;

    fn list(&self) -> Result<Vec<String>> {
        Ok(self.state.borrow().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> Result<Vec<u8>> {
        let state = self.state.borrow();
        let file = state.find(name)?;
        Ok(state.files[file].data.clone())
    }

    fn create(&self, name: &str) -> Result<FakeFile> {
        let mut state = self.state.borrow_mut();
        let file = state.files.len();
        state.files.push(FileContent::default());
        state.names.insert(name.to_owned(), file);
        state.record_names();
        drop(state);
        Ok(FakeFile {
            state: self.state.clone(),
            file,
        })
    }

    fn open(&self, name: &str) -> Result<FakeFile> {
        let file = self.state.borrow().find(name)?;
        Ok(FakeFile {
            state: self.state.clone(),
            file,
        })
    }

    fn rename(&self, from: &str, to: &str) -> Result<()> {
        let mut state = self.state.borrow_mut();
        let file = state.find(from)?;
        state.names.remove(from);
        state.names.insert(to.to_owned(), file);
        state.record_names();
        Ok(())
    }

    fn remove(&self, name: &str) -> Result<()> {
        let mut state = self.state.borrow_mut();
        state.find(name)?;
        state.names.remove(name);
        state.record_names();
        Ok(())
    }

    fn sync_folder(&self) -> Result<()> {
        let mut state = self.state.borrow_mut();
        if state.sync_fails {
            return Err(Error::other("the folder can't be synced"));
        }
        state.history = vec![state.names.clone()];
        Ok(())
    }
}

impl StoreFile for FakeFile {
    fn append(&mut self, data: &[u8]) -> Result<()> {
        let mut state = self.state.borrow_mut();
        let written = state.free.unwrap_or(usize::MAX).min(data.len());
        state.files[self.file]
            .data
            .extend_from_slice(&data[..written]);
        if let Some(free) = &mut state.free {
            *free -= written;
        }
        if written < data.len() {
            return Err(Error::from(ErrorKind::StorageFull));
        }
        Ok(())
    }

    fn sync(&mut self) -> Result<()> {
        let mut state = self.state.borrow_mut();
        if state.sync_fails {
            return Err(Error::other("the file can't be synced"));
        }
        let file = &mut state.files[self.file];
        file.synced_len = file.data.len();
        Ok(())
    }

    fn set_len(&mut self, len: u64) -> Result<()> {
        let mut state = self.state.borrow_mut();
        let file = &mut state.files[self.file];
        let len = usize::try_from(len).expect("a file in memory");
        file.data.truncate(len);
        file.synced_len = file.synced_len.min(len);
        Ok(())
    }
}
