package certs

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// TLS returns the settings for both directions between instances. Each side
// proves with a certificate of the deployment's own authority that it belongs
// to it; names and addresses are not checked, since instances are replaced at
// any time and talk by IP number.
func TLSConfigs(authority *x509.CertPool, certificate tls.Certificate) (server, client *tls.Config) {
	server = &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate},
		ClientCAs: authority, ClientAuth: tls.RequireAndVerifyClientCert,
	}
	client = &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}, RootCAs: authority,
		// The standard check would compare host names, which instances don't
		// have. VerifyConnection does the rest of it: the chain.
		InsecureSkipVerify: true,
		VerifyConnection:   func(c tls.ConnectionState) error { return verifyChain(c, authority) },
	}
	return server, client
}

func verifyChain(c tls.ConnectionState, authority *x509.CertPool) error {
	if len(c.PeerCertificates) == 0 {
		return errors.New("certs: the other instance showed no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range c.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := c.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "certs: the other instance's certificate")
}
