package certs

import (
	"crypto/tls"
	"crypto/x509"

	"github.com/pkg/errors"
)

// TLSConfigs returns the configurations for the server and the client side of
// connections between instances. Each side presents a certificate of the
// deployment's CA. Names and addresses are not checked, since instances may be
// replaced at any time and connect by IP address.
func TLSConfigs(authority *x509.CertPool, certificate tls.Certificate) (server, client *tls.Config) {
	server = &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate},
		ClientCAs: authority, ClientAuth: tls.RequireAndVerifyClientCert,
	}
	client = &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}, RootCAs: authority,
		// The default verification also compares host names, which instances
		// don't have. VerifyConnection verifies the certificate chain instead.
		InsecureSkipVerify: true,
		VerifyConnection:   func(c tls.ConnectionState) error { return verifyChain(c, authority) },
	}
	return server, client
}

func verifyChain(c tls.ConnectionState, authority *x509.CertPool) error {
	if len(c.PeerCertificates) == 0 {
		return errors.New("certs: the peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, cert := range c.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := c.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "certs: verify the peer's certificate")
}
