"""The daemon `lentilmountd`: everything that runs on an entry host."""
