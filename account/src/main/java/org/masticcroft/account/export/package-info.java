/**
 * Export of the account to a file. The file is a sequence of zstd frames; their content is UTF-8 text with one JSON
 * document a line, see {@link org.masticcroft.account.export.ExportLine}. The last frame is the trailer, see
 * {@link org.masticcroft.account.export.ExportTrailer}.
 */
package org.masticcroft.account.export;
