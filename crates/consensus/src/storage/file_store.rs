//! File operations on one folder, as needed by the storage.

use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// An append-only file, truncated only to undo a failed or torn write.
pub trait StoreFile {
    /// Appends all bytes; on failure some of them may have been appended.
    ///
    /// # Errors
    /// Fails when the write fails; the error kind for a full disk is
    /// `StorageFull` or `QuotaExceeded`.
    fn append(&mut self, data: &[u8]) -> io::Result<()>;

    /// Makes the content and length durable.
    ///
    /// # Errors
    /// After a failure it is unknown which bytes are durable.
    fn sync(&mut self) -> io::Result<()>;

    /// Truncates the file to a length in bytes.
    ///
    /// # Errors
    /// Fails when the file can't be changed.
    fn set_len(&mut self, len: u64) -> io::Result<()>;
}

/// The files of one folder, accessed by name.
pub trait FileStore {
    /// An open file.
    type File: StoreFile;

    /// Lists the names of all files in ascending order.
    ///
    /// # Errors
    /// Fails when the folder can't be read.
    fn list(&self) -> io::Result<Vec<String>>;

    /// Reads an entire file.
    ///
    /// # Errors
    /// Fails when the file can't be read.
    fn read(&self, name: &str) -> io::Result<Vec<u8>>;

    /// Creates an empty file, and replaces an existing one of this name.
    ///
    /// # Errors
    /// Fails when the file can't be created.
    fn create(&self, name: &str) -> io::Result<Self::File>;

    /// Opens a file for appending.
    ///
    /// # Errors
    /// Fails when there is no such file.
    fn open(&self, name: &str) -> io::Result<Self::File>;

    /// Renames a file, and replaces an existing one of the new name.
    ///
    /// # Errors
    /// Fails when the folder can't be changed.
    fn rename(&self, from: &str, to: &str) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    /// Fails when the folder can't be changed.
    fn remove(&self, name: &str) -> io::Result<()>;

    /// Makes creations, renames and removals durable.
    ///
    /// # Errors
    /// After a failure it is unknown which of them are durable.
    fn sync_folder(&self) -> io::Result<()>;
}

/// A folder of the file system.
#[derive(Debug, Clone)]
pub struct FolderStore {
    path: PathBuf,
}

impl FolderStore {
    /// Opens a folder, and creates it if needed.
    ///
    /// # Errors
    /// Fails when the folder can't be created.
    pub fn open(path: &Path) -> io::Result<Self> {
        fs::create_dir_all(path)?;
        if let Some(parent) = path
            .parent()
            .filter(|parent| !parent.as_os_str().is_empty())
        {
            File::open(parent)?.sync_all()?;
        }
        Ok(FolderStore {
            path: path.to_owned(),
        })
    }
}

impl FileStore for FolderStore {
    type File = File;

    fn list(&self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.path)? {
            if let Ok(name) = entry?.file_name().into_string() {
                names.push(name);
            }
        }
        names.sort_unstable();
        Ok(names)
    }

    fn read(&self, name: &str) -> io::Result<Vec<u8>> {
        fs::read(self.path.join(name))
    }

    fn create(&self, name: &str) -> io::Result<File> {
        let path = self.path.join(name);
        File::create(&path)?;
        OpenOptions::new().append(true).open(path)
    }

    fn open(&self, name: &str) -> io::Result<File> {
        OpenOptions::new().append(true).open(self.path.join(name))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        fs::rename(self.path.join(from), self.path.join(to))
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        fs::remove_file(self.path.join(name))
    }

    fn sync_folder(&self) -> io::Result<()> {
        File::open(&self.path)?.sync_all()
    }
}

impl StoreFile for File {
    fn append(&mut self, data: &[u8]) -> io::Result<()> {
        self.write_all(data)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }

    fn set_len(&mut self, len: u64) -> io::Result<()> {
        File::set_len(self, len)
    }
}
